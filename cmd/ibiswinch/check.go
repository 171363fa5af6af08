package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"ibiswinch/core/config"
	"ibiswinch/core/settings"
	"ibiswinch/io/ini"
)

func init() {
	register("check", "Check settings, or an inventory with its rules, without any effect.", &checkCommand{})
}

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Settings files, or inventory.ini and rules.ini together."`
}

// Run checks each file. An inventory and rules are checked together, since they refer to each other.
func (c *checkCommand) Run() error {
	var inventory, rules string
	problems := 0
	for _, path := range c.Files {
		switch {
		case matchesFileName(path, config.InventoryFile):
			inventory = path
		case matchesFileName(path, config.RulesFile):
			rules = path
		default:
			_, err := ini.Load(path)
			problems += printProblems(path, err)
		}
	}
	if inventory != "" || rules != "" {
		n, err := checkPublication(inventory, rules)
		if err != nil {
			return err
		}
		problems += n
	}
	if problems > 0 {
		return eris.Errorf("%d problems found", problems)
	}
	return nil
}

// matchesFileName reports whether path ends in fileName, alone or after a prefix and "-", as in west-rules.ini.
func matchesFileName(path, fileName string) bool {
	base := filepath.Base(path)
	return base == fileName || len(base) > len(fileName) && base[len(base)-len(fileName)-1:] == "-"+fileName
}

func checkPublication(inventory, rules string) (int, error) {
	if inventory == "" || rules == "" {
		return 0, eris.New("inventory and rules are checked together; pass both files")
	}
	texts, err := readFiles(inventory, rules)
	if err != nil {
		return 0, err
	}
	_, err = config.Parse(texts[0], texts[1])
	return printProblems(inventory+" and "+rules, err), nil
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

func printProblems(name string, err error) int {
	if err == nil {
		fmt.Println(name + ": ok")
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var problems settings.Problems
	if eris.As(err, &problems) {
		return len(problems)
	}
	return 1
}
