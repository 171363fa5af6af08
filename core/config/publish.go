package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"

	"ibiswinch/core/settings"
)

// maxTextBytes bounds one decompressed text, so that a small record can't exhaust a reader's memory.
const maxTextBytes = 8 << 20

// maxCompressedBytes bounds both compressed texts together. In base64 they stay below record.MaxBatchBytes with room
// for the envelope.
const maxCompressedBytes = 640 << 10

// Errors of publications. They are compared with eris.Is. Their texts get into the reasons of refusals, which are
// stored in snapshots.
var (
	ErrTooLarge   = eris.New("configuration text is too large")
	ErrDecompress = eris.New("compressed text can't be read")
)

// CompressedText is a text compressed with gzip. The plain text of 7,100 backend servers doesn't fit into one entry of
// the log.
type CompressedText []byte

// Compress compresses text.
func Compress(text string) (CompressedText, error) {
	if len(text) > maxTextBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes, the limit is %d", len(text), maxTextBytes)
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := io.WriteString(w, text); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return buf.Bytes(), nil
}

// Text decompresses the text.
func (p CompressedText) Text() (string, error) {
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return "", eris.Wrapf(ErrDecompress, "%v", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return "", eris.Wrapf(ErrDecompress, "%v", err)
	}
	if len(text) > maxTextBytes {
		return "", eris.Wrapf(ErrTooLarge, "more than %d bytes", maxTextBytes)
	}
	return string(text), nil
}

// Publish is the payload of a publish record.
type Publish struct {
	// Replaces is the version on which the operator's changes are based; 0 is the empty configuration. The publication is
	// accepted only if that version is still in force.
	Replaces      uint64         `json:"replaces"`
	Operator      string         `json:"operator"`
	InventoryGzip CompressedText `json:"inventoryGzip"`
	RulesGzip     CompressedText `json:"rulesGzip"`
}

// NewPublish validates both texts and returns the payload of a publish record. If they are invalid, the error is
// settings.Problems with all errors.
func NewPublish(replaces uint64, operator, inventory, rules string) (Publish, error) {
	if _, err := Parse(inventory, rules); err != nil {
		return Publish{}, err
	}
	return compressPublish(replaces, operator, inventory, rules)
}

func compressPublish(replaces uint64, operator, inventory, rules string) (Publish, error) {
	inventoryGzip, err := Compress(inventory)
	if err != nil {
		return Publish{}, eris.Wrap(err, InventoryFile)
	}
	rulesGzip, err := Compress(rules)
	if err != nil {
		return Publish{}, eris.Wrap(err, RulesFile)
	}
	p := Publish{Replaces: replaces, Operator: operator, InventoryGzip: inventoryGzip, RulesGzip: rulesGzip}
	return p, p.Validate()
}

// Validate checks the payload without decompressing the texts.
func (p Publish) Validate() error {
	if _, err := settings.Name.Parse(p.Operator); err != nil {
		return eris.Wrap(err, "operator")
	}
	if n := len(p.InventoryGzip) + len(p.RulesGzip); n > maxCompressedBytes {
		return eris.Wrapf(ErrTooLarge, "%d bytes compressed, the limit is %d", n, maxCompressedBytes)
	}
	return nil
}

// parse decompresses and parses the texts of a publication that gets the given version.
func (p Publish) parse(version uint64) (parsedPublication, error) {
	inventory, err := p.InventoryGzip.Text()
	if err != nil {
		return parsedPublication{}, eris.Wrap(err, InventoryFile)
	}
	rules, err := p.RulesGzip.Text()
	if err != nil {
		return parsedPublication{}, eris.Wrap(err, RulesFile)
	}
	cfg, err := Parse(inventory, rules)
	if err != nil {
		return parsedPublication{}, err
	}
	publication := Publication{
		Version:   version,
		Replaces:  p.Replaces,
		Operator:  p.Operator,
		Inventory: inventory,
		Rules:     rules,
	}
	return parsedPublication{publication: publication, config: cfg}, nil
}

// Publication is a configuration with its version, as entry VMs send it to each other.
type Publication struct {
	Version   uint64
	Replaces  uint64
	Operator  string
	Inventory string
	Rules     string
}
