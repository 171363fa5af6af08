package config

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
	"ibiswinch/core/settings"
)

// maxResults bounds the results of publications that are kept. At 6,300 publications a day they cover more than half an
// hour, far longer than an operator waits for a result.
const maxResults = 256

// maxReasonBytes bounds the reason of a refused publication.
const maxReasonBytes = 512

// Outcome is the outcome of a publication.
type Outcome string

// Outcomes of a publication.
const (
	// Accepted publications came into force at their position in the log.
	Accepted Outcome = "accepted"
	// Conflict means that the publication was to replace a version that was no longer in force: another one came first.
	Conflict Outcome = "lost"
	// Refused publications have errors in their texts.
	Refused Outcome = "refused"
)

// PublishResult is the result of a publication, for its author.
type PublishResult struct {
	record.Author
	Sequence uint64  `json:"sequence"`
	Outcome  Outcome `json:"outcome"`
	// Version is the version in force after the publication was applied: its own if it was accepted.
	Version uint64 `json:"version"`
	// Operator published that version.
	Operator string `json:"operator"`
	// Reason is the list of errors of a refused publication, cut to maxReasonBytes.
	Reason string `json:"reason,omitempty"`
}

// parsedPublication is a publication with its parsed configuration.
type parsedPublication struct {
	publication Publication
	config      *Config
}

// History is the state that is built from the publications in the config stream. It implements record.Fold. It also
// takes publications from peers, for a process that can't reach the log. A History is not safe for concurrent use; a
// *Config that it returned is never changed.
type History struct {
	// version and publish are the newest accepted publication of the log. Only they and results are in a snapshot, since
	// publications from peers differ between processes.
	version uint64
	publish Publish
	results []PublishResult
	// active is in force in this process. Its version never decreases, and is never below version.
	active parsedPublication
}

// NewHistory returns a history without a configuration.
func NewHistory() *History { return &History{} }

// Current returns the version in force and its configuration; the configuration is nil if there is none yet.
func (h *History) Current() (uint64, *Config) {
	return h.active.publication.Version, h.active.config
}

// Publication returns the publication in force. Its version is 0 if there is none yet.
func (h *History) Publication() Publication { return h.active.publication }

// LogVersion returns the newest version that was read from the log. After an Offer it may be lower than that of
// Current.
func (h *History) LogVersion() uint64 { return h.version }

// PublishResult returns the result of a publication, or false if it was not applied yet or its result is no longer
// kept.
func (h *History) PublishResult(author record.Author, sequence uint64) (PublishResult, bool) {
	i := slices.IndexFunc(h.results, func(v PublishResult) bool { return v.Author == author && v.Sequence == sequence })
	if i < 0 {
		return PublishResult{}, false
	}
	return h.results[i], true
}

// Apply implements record.Fold.
func (h *History) Apply(_ record.Position, r record.Record) error {
	if r.Kind != record.KindPublish {
		return eris.Wrapf(record.ErrUnknownKind, "%s in the config stream", r.Kind)
	}
	p, err := record.Body[Publish](r)
	if err != nil {
		return err
	}
	result := PublishResult{Author: r.Author, Sequence: r.Sequence, Outcome: Conflict}
	if p.Replaces == h.version {
		result.Outcome, result.Reason = h.accept(p)
	}
	result.Version, result.Operator = h.version, h.publish.Operator
	h.addResult(result)
	return nil
}

// accept puts a publication in force if its texts are valid. The validation is a part of the fold: a release that
// validates differently must increase record.FoldVersion.
func (h *History) accept(p Publish) (Outcome, string) {
	next, err := p.parse(h.version + 1)
	if err != nil {
		reason := err.Error()
		return Refused, reason[:min(len(reason), maxReasonBytes)]
	}
	h.version++
	h.publish = p
	h.activateIfNewer(next)
	return Accepted, ""
}

// activateIfNewer puts next in force unless a newer version already is.
func (h *History) activateIfNewer(next parsedPublication) {
	if next.publication.Version > h.active.publication.Version {
		h.active = next
	}
}

func (h *History) addResult(result PublishResult) {
	if len(h.results) == maxResults {
		h.results = append(h.results[:0], h.results[1:]...)
	}
	h.results = append(h.results, result)
}

// Offer puts a publication of a peer in force if its version is higher than the one in force, and reports whether it
// did. Versions are assigned only by reading the log, so a peer with a higher version has read more of the same log.
func (h *History) Offer(p Publication) (bool, error) {
	if p.Version <= h.active.publication.Version {
		return false, nil
	}
	if _, err := settings.Name.Parse(p.Operator); err != nil {
		return false, eris.Wrapf(err, "offered version %d: operator", p.Version)
	}
	if max(len(p.Inventory), len(p.Rules)) > maxTextBytes {
		return false, eris.Wrapf(ErrTooLarge, "offered version %d", p.Version)
	}
	cfg, err := Parse(p.Inventory, p.Rules)
	if err != nil {
		return false, eris.Wrapf(err, "offered version %d", p.Version)
	}
	h.activateIfNewer(parsedPublication{publication: p, config: cfg})
	return true, nil
}

// historyState is the encoding of a History in a snapshot. It has the compressed bytes as they are in the record, since
// another release of the compressor may compress the same text differently.
type historyState struct {
	Version uint64          `json:"version"`
	Publish Publish         `json:"publish"`
	Results []PublishResult `json:"verdicts"`
}

// Encode implements record.Fold.
func (h *History) Encode() ([]byte, error) {
	results := h.results
	if results == nil {
		results = []PublishResult{}
	}
	data, err := json.Marshal(historyState{Version: h.version, Publish: h.publish, Results: results})
	return data, eris.Wrap(err, "encode config history")
}

// Decode implements record.Fold. The version in force doesn't decrease, even if that of the snapshot is lower.
func (h *History) Decode(data []byte) error {
	var state historyState
	if err := json.Unmarshal(data, &state); err != nil {
		return eris.Wrap(err, "decode config history")
	}
	if len(state.Results) > maxResults {
		return eris.Errorf("decode config history: %d results of publications are too many", len(state.Results))
	}
	if state.Version > 0 {
		next, err := state.Publish.parse(state.Version)
		if err != nil {
			return eris.Wrap(err, "decode config history")
		}
		h.activateIfNewer(next)
	}
	h.version, h.publish, h.results = state.Version, state.Publish, state.Results
	return nil
}
