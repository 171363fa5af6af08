package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/catalog"
	"ibiswinch/core/config"
	"ibiswinch/core/keyed"
	"ibiswinch/core/review"
	"ibiswinch/core/settings"
	"ibiswinch/io/ini"
	"ibiswinch/platform"
)

func init() {
	register("check", "Check settings or a configuration, without any effect, and compare it with the one in force.", &checkCommand{})
}

type checkCommand struct {
	Files   []string `arg:"" type:"existingfile" help:"Settings files, inventory.ini and rules.ini together, or a configuration of the users' platform (.json)."`
	Against []string `help:"What is in force: files like those to check, or the address of the platform's store."`
	Output  string   `default:"text" enum:"text,json" help:"Format of the result."`
}

// storeTimeout bounds the read of the configuration in force.
const storeTimeout = 10 * time.Second

// checkResult is what a check has found.
type checkResult struct {
	Findings    review.Findings     `json:"findings"`
	Differences []review.Difference `json:"differences"`
}

// publication holds the configurations that files contain. Each is nil without its files.
type publication struct {
	// pair is that of the inventory and the rules, catalog that of the users' platform.
	pair    *config.Config
	catalog *catalog.Config
}

// Run checks each file. An inventory and rules are checked together, since they refer to each other.
func (c *checkCommand) Run() error {
	var result checkResult
	next, err := readPublication(c.Files, &result.Findings)
	if err != nil {
		return err
	}
	if next.pair != nil {
		result.Findings = append(result.Findings, config.Review(next.pair, time.Now())...)
	}
	if next.catalog != nil {
		result.Findings = append(result.Findings, catalog.Review(*next.catalog)...)
	}
	if len(c.Against) > 0 {
		if err := c.compare(next, &result); err != nil {
			return err
		}
	}
	if err := c.print(os.Stdout, result); err != nil {
		return err
	}
	if n := result.Findings.Errors(); n > 0 {
		return eris.Errorf("%d errors found", n)
	}
	return nil
}

// compare adds what differs from the configuration in force. That must be sound.
func (c *checkCommand) compare(next publication, result *checkResult) error {
	var found review.Findings
	inForce, err := c.readInForce(&found)
	switch {
	case err != nil:
		return err
	case found.Errors() > 0:
		return eris.Errorf("the configuration in force can't be read: %s", found[0])
	case next.pair != nil && inForce.pair != nil:
		result.Differences = append(result.Differences, config.Compare(inForce.pair, next.pair)...)
	case next.catalog != nil && inForce.catalog != nil:
		result.Differences = append(result.Differences, catalog.Compare(*inForce.catalog, *next.catalog)...)
		if next.catalog.Version <= inForce.catalog.Version {
			result.Findings.Errorf("configuration", "version %d is not above version %d, which is in force", next.catalog.Version, inForce.catalog.Version)
		}
	case result.Findings.Errors() == 0:
		return eris.New("--against: nothing of the kind that is checked")
	}
	return nil
}

// readInForce reads the configuration in force, from files or from the platform's store.
func (c *checkCommand) readInForce(found *review.Findings) (publication, error) {
	addr, err := netip.ParseAddrPort(c.Against[0])
	if err != nil || len(c.Against) > 1 {
		return readPublication(c.Against, found)
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	batch, err := platform.NewStore(platform.StoreConfig{Address: addr}).Latest(ctx, keyed.Partition{Stream: keyed.Operations})
	if err != nil {
		return publication{}, eris.Wrap(err, "read the configuration in force")
	}
	for _, r := range batch.Records {
		if r.Key == platform.ConfigKey {
			return readCatalog("store", r.Value, found), nil
		}
	}
	return publication{}, eris.New("the store has no configuration")
}

// readPublication reads the files, adds their errors to found and returns the configurations that have none.
func readPublication(paths []string, found *review.Findings) (publication, error) {
	var p publication
	var inventory, rules string
	for _, path := range paths {
		switch {
		case matchesFileName(path, config.InventoryFile):
			inventory = path
		case matchesFileName(path, config.RulesFile):
			rules = path
		case filepath.Ext(path) == ".json":
			texts, err := readFiles(path)
			if err != nil {
				return p, err
			}
			p.catalog = readCatalog(path, []byte(texts[0]), found).catalog
		default:
			_, err := ini.Load(path)
			addProblems(found, path, err)
		}
	}
	if inventory == "" && rules == "" {
		return p, nil
	}
	if inventory == "" || rules == "" {
		return p, eris.New("inventory and rules are checked together; pass both files")
	}
	texts, err := readFiles(inventory, rules)
	if err != nil {
		return p, err
	}
	p.pair, err = config.Parse(texts[0], texts[1])
	addProblems(found, inventory+" and "+rules, err)
	return p, nil
}

func readCatalog(name string, text []byte, found *review.Findings) publication {
	cfg, more, err := platform.CheckConfiguration(text)
	if err != nil {
		found.Errorf(name, "%v", err)
		return publication{}
	}
	*found = append(*found, more...)
	return publication{catalog: &cfg}
}

// matchesFileName reports whether path ends in fileName, alone or after a prefix and "-", as in west-rules.ini.
func matchesFileName(path, fileName string) bool {
	base := filepath.Base(path)
	return base == fileName || len(base) > len(fileName) && base[len(base)-len(fileName)-1:] == "-"+fileName
}

func readFiles(paths ...string) ([]string, error) {
	var texts []string
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read file")
		}
		texts = append(texts, string(data))
	}
	return texts, nil
}

// addProblems adds the errors of the text with a name.
func addProblems(found *review.Findings, name string, err error) {
	var problems settings.Problems
	switch {
	case err == nil:
	case eris.As(err, &problems):
		for _, p := range problems {
			subject := p.File
			if p.Section != "" {
				subject += ": [" + p.Section + "]"
			}
			if p.Key != "" {
				subject += " " + p.Key
			}
			found.Errorf(subject, "%s", p.Message)
		}
	default:
		found.Errorf(name, "%v", err)
	}
}

// print writes the result in the format of the command line.
func (c *checkCommand) print(w io.Writer, result checkResult) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	for _, f := range result.Findings {
		fmt.Fprintln(w, f)
	}
	for _, d := range result.Differences {
		fmt.Fprintf(w, "%s: %s\n", d.Kind, d.Subject)
		for _, field := range d.Fields {
			fmt.Fprintf(w, "  %s: %s -> %s\n", field.Field, field.Old, field.New)
		}
	}
	if len(result.Findings) == 0 {
		fmt.Fprintln(w, "ok")
	}
	return nil
}
