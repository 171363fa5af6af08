package rollout

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"ibiswinch/core/keyed"
	"ibiswinch/core/record"
)

const (
	// maxSteps bounds the known steps, except those of the last change of each model.
	maxSteps = 512
	// rankOfEnd is the rank of the steps that end a change. It is higher than that of any stage.
	rankOfEnd = 1 + maxStages
)

// History holds the known steps of version changes. A log that was restored from a copy may have lost some, and entry VMs
// write them again in any order. So a step takes effect by its change and its stage, and only among those that end a
// change the first one that was read counts. It is not safe for concurrent use.
type History struct {
	// steps are sorted by version and rank, then in the order in which they were added.
	steps []step
	known map[string]bool
}

// step is one record of a version change.
type step struct {
	in     keyed.Record
	record record.Record
	// model and version are those of the change.
	model   string
	version uint64
	// rank is the place within the change.
	rank int
	// err says why the step has no effect, nil if it has one.
	err error
}

// NewHistory returns a History without steps.
func NewHistory() *History { return &History{known: map[string]bool{}} }

// Add records a step and reports whether one of its key is new. Of several, the first counts.
func (h *History) Add(in keyed.Record) (bool, error) {
	if h.known[in.Key] {
		return false, nil
	}
	next, err := decodeStep(in)
	if err != nil {
		return false, err
	}
	h.known[in.Key] = true
	i := len(h.steps)
	for i > 0 && comparePlaces(h.steps[i-1], next) > 0 {
		i--
	}
	h.steps = slices.Insert(h.steps, i, next)
	if len(h.steps) > maxSteps {
		h.dropOldest()
	}
	return true, nil
}

func comparePlaces(a, b step) int {
	return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.rank, b.rank))
}

func decodeStep(in keyed.Record) (step, error) {
	s := step{in: in}
	if err := json.Unmarshal(in.Value, &s.record); err != nil {
		return step{}, eris.Wrap(err, "step of version change")
	}
	if err := s.record.Validate(); err != nil {
		return step{}, err
	}
	var err error
	switch s.record.Kind {
	case record.KindOpenChange:
		var body Open
		body, err = record.Body[Open](s.record)
		s.model, s.version = body.Rule.Model, body.ConfigVersion
	case record.KindAdvance:
		var body Advance
		body, err = record.Body[Advance](s.record)
		s.model, s.version = splitID(body.Change)
		s.rank = 1 + body.From
	case record.KindTakeBack:
		var body TakeBack
		body, err = record.Body[TakeBack](s.record)
		s.model, s.version = splitID(body.Change)
		s.rank = rankOfEnd
	case record.KindDone:
		var body Done
		body, err = record.Body[Done](s.record)
		s.model, s.version = splitID(body.Change)
		s.rank = rankOfEnd
	default:
		err = eris.Wrapf(record.ErrUnknownKind, "%s", s.record.Kind)
	}
	return s, err
}

// splitID returns the model and the version of a change id.
func splitID(id string) (model string, version uint64) {
	i := strings.LastIndexByte(id, '@')
	if i < 0 {
		return id, 0
	}
	version, _ = strconv.ParseUint(id[i+1:], 10, 64)
	return id[:i], version
}

// dropOldest drops the oldest step of a change that isn't the last one of its model.
func (h *History) dropOldest() {
	last := map[string]uint64{}
	for _, s := range h.steps {
		last[s.model] = s.version
	}
	i := slices.IndexFunc(h.steps, func(s step) bool { return s.version < last[s.model] })
	if i >= 0 {
		delete(h.known, h.steps[i].in.Key)
		h.steps = slices.Delete(h.steps, i, i+1)
	}
}

// Changes returns the state that the steps lead to.
func (h *History) Changes() *Changes {
	changes := NewChanges()
	for i := range h.steps {
		s := &h.steps[i]
		s.err = changes.Apply(record.Position{}, s.record)
	}
	return changes
}

// Err returns why the step with a key had no effect in the last call of Changes.
func (h *History) Err(key string) error {
	for _, s := range h.steps {
		if s.in.Key == key {
			return s.err
		}
	}
	return nil
}

// Missing returns the steps with an effect that a snapshot of the log lacks, in the order in which they take effect. A
// step without effect isn't written again, as it might have one for a process that doesn't know the others.
func (h *History) Missing(snapshot []keyed.Record) []keyed.Record {
	listed := map[string]bool{}
	for _, r := range snapshot {
		listed[r.Key] = true
	}
	var missing []keyed.Record
	for _, s := range h.steps {
		if s.err == nil && !listed[s.in.Key] {
			missing = append(missing, keyed.Record{Key: s.in.Key, Value: s.in.Value})
		}
	}
	return missing
}
