package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Reasons to skip a record. They are compared with eris.Is.
var (
	ErrUnknownChange  = eris.New("unknown change")
	ErrStale          = eris.New("record is based on outdated state")
	ErrFinal          = eris.New("change is final")
	ErrBeforeDeadline = eris.New("done recorded too long before the deadline")
	// ErrUnaware is the reason to skip the opening of a change by an author that didn't know the last one.
	ErrUnaware = eris.New("opened without knowledge of the last change")
)

// doneLead is how long before the deadline a done record may be written, so that all VMs have read it by the deadline.
const doneLead = 2 * time.Second

// maxChangesPerModel bounds the changes kept per model. A late record of an older one is skipped as unknown.
const maxChangesPerModel = 8

// State is the state of a change.
type State string

// States. A change moves from open to done or takenBack (rolled back to the old version), and from done to takenBack
// for a fault.
const (
	StateOpen      State = "open"
	StateDone      State = "done"
	StateTakenBack State = "takenBack"
)

// Change is one version change as recorded in the log.
type Change struct {
	ID   string `json:"id"`
	Rule Rule   `json:"rule"`
	// ConfigVersion is the configuration that the change was opened with.
	ConfigVersion uint64 `json:"configVersion"`
	State         State  `json:"state"`
	Stage         int    `json:"stage"`
	// Opened and Changed are from the clocks of the authors of the records and are only for display.
	Opened  time.Time `json:"opened"`
	Changed time.Time `json:"changed"`
	// Reason and Route are set when the change is taken back.
	Reason Reason `json:"reason,omitempty"`
	Route  string `json:"route,omitempty"`
	// ClosedBy is the configuration that withdrew or replaced the rule, else 0.
	ClosedBy uint64 `json:"closedBy,omitempty"`
	// Author is the author of the last record that changed State or Stage.
	Author record.Author `json:"author"`
	// AfterDone is true when the takeBack record came after the done record, as when a network partition delayed it.
	AfterDone bool `json:"afterDone,omitempty"`
}

// Changes is the fold of the changes stream.
type Changes struct {
	// models holds the changes of each model, oldest first. Only the last can be open.
	models map[string][]Change
}

// NewChanges returns the empty state.
func NewChanges() *Changes { return &Changes{models: map[string][]Change{}} }

// Latest returns the newest change of model.
func (c *Changes) Latest(model string) (Change, bool) {
	list := c.models[model]
	if len(list) == 0 {
		return Change{}, false
	}
	return list[len(list)-1], true
}

// All returns the kept changes by model, oldest first.
func (c *Changes) All() []Change {
	var all []Change
	for _, model := range slices.Sorted(maps.Keys(c.models)) {
		all = append(all, c.models[model]...)
	}
	return all
}

// Apply implements record.Fold.
func (c *Changes) Apply(_ record.Position, r record.Record) error {
	switch r.Kind {
	case record.KindOpenChange:
		return applyBody(r, c.open)
	case record.KindAdvance:
		return applyBody(r, c.advance)
	case record.KindTakeBack:
		return applyBody(r, c.takeBack)
	case record.KindDone:
		return applyBody(r, c.done)
	}
	return eris.Wrapf(record.ErrUnknownKind, "%s", r.Kind)
}

func applyBody[T record.Validator](r record.Record, apply func(record.Record, T) error) error {
	body, err := record.Body[T](r)
	if err != nil {
		return err
	}
	return apply(r, body)
}

func (c *Changes) open(r record.Record, o Open) error {
	last, ok := c.Latest(o.Rule.Model)
	if ok && o.ignores(last) {
		return eris.Wrapf(ErrUnaware, "model %s has change %s", o.Rule.Model, last.ID)
	}
	if ok && !last.mayFollow(o) {
		return eris.Wrapf(ErrStale, "model %s has change %s", o.Rule.Model, last.ID)
	}
	list := c.models[o.Rule.Model]
	if ok && last.State == StateOpen {
		list[len(list)-1].close(r, ReasonReplaced, o.ConfigVersion)
	}
	o.Rule.Deadline = o.Rule.Deadline.UTC()
	list = append(list, Change{
		ID:            o.Rule.Model + "@" + strconv.FormatUint(o.ConfigVersion, 10),
		Rule:          o.Rule,
		ConfigVersion: o.ConfigVersion,
		State:         StateOpen,
		Opened:        r.Time.UTC(),
		Changed:       r.Time.UTC(),
		Author:        r.Author,
	})
	if len(list) > maxChangesPerModel {
		list = slices.Clone(list[len(list)-maxChangesPerModel:])
	}
	c.models[o.Rule.Model] = list
	return nil
}

// mayFollow reports whether o opens a new change after c. The same rule in a later configuration is the same
// change, unless the operator withdrew it in between.
func (c Change) mayFollow(o Open) bool {
	if o.ConfigVersion <= max(c.ConfigVersion, c.ClosedBy) {
		return false
	}
	return !c.Rule.Equal(o.Rule) || c.Reason == ReasonWithdrawn
}

func (c *Change) close(r record.Record, reason Reason, configVersion uint64) {
	c.AfterDone = c.State == StateDone
	c.State = StateTakenBack
	c.Reason = reason
	c.ClosedBy = configVersion
	c.Changed = r.Time.UTC()
	c.Author = r.Author
}

// find returns the change with id, and whether it is the newest of its model.
func (c *Changes) find(id string) (change *Change, newest bool, err error) {
	for _, list := range c.models {
		for i := range list {
			if list[i].ID == id {
				return &list[i], i == len(list)-1, nil
			}
		}
	}
	return nil, false, eris.Wrapf(ErrUnknownChange, "%s", id)
}

func (c *Changes) advance(r record.Record, a Advance) error {
	change, _, err := c.find(a.Change)
	switch {
	case err != nil:
		return err
	case change.State != StateOpen:
		return eris.Wrapf(ErrFinal, "%s is %s", change.ID, change.State)
	case a.From != change.Stage || a.From >= change.Rule.lastStage():
		return eris.Wrapf(ErrStale, "%s is at stage %d, not %d", change.ID, change.Stage, a.From)
	}
	change.Stage++
	change.Changed = r.Time.UTC()
	change.Author = r.Author
	return nil
}

// takeBack overrides done only for a fault whose record was delayed by a network partition: a done change can't be
// withdrawn, and missing evidence on one side of a partition doesn't contradict the evidence on the other side. Once
// the next change is open, the old version is gone and can't be restored.
func (c *Changes) takeBack(r record.Record, t TakeBack) error {
	change, newest, err := c.find(t.Change)
	switch {
	case err != nil:
		return err
	case change.State == StateTakenBack:
		return eris.Wrapf(ErrFinal, "%s is taken back", change.ID)
	case change.State == StateDone && !(t.Reason.isFault() && newest):
		return eris.Wrapf(ErrFinal, "%s is done", change.ID)
	case t.Reason == ReasonWithdrawn && t.ConfigVersion <= change.ConfigVersion:
		return eris.Wrapf(ErrStale, "%s has a newer rule", change.ID)
	}
	change.close(r, t.Reason, t.ConfigVersion)
	change.Route = t.Route
	return nil
}

func (c *Changes) done(r record.Record, d Done) error {
	change, _, err := c.find(d.Change)
	switch {
	case err != nil:
		return err
	case change.State != StateOpen:
		return eris.Wrapf(ErrFinal, "%s is %s", change.ID, change.State)
	case change.Stage != change.Rule.lastStage():
		return eris.Wrapf(ErrStale, "done before the last stage: %s is at stage %d", change.ID, change.Stage)
	case r.Time.Before(change.Rule.Deadline.Add(-doneLead)):
		return eris.Wrapf(ErrBeforeDeadline, "%s", change.ID)
	}
	change.State = StateDone
	change.Changed = r.Time.UTC()
	change.Author = r.Author
	return nil
}

// Encode implements record.Fold.
func (c *Changes) Encode() ([]byte, error) {
	data, err := json.Marshal(c.All())
	if err != nil {
		return nil, eris.Wrap(err, "encode changes")
	}
	return data, nil
}

// Decode implements record.Fold.
func (c *Changes) Decode(data []byte) error {
	var all []Change
	if err := json.Unmarshal(data, &all); err != nil {
		return eris.Wrap(err, "decode changes")
	}
	models := map[string][]Change{}
	for _, change := range all {
		if err := change.Rule.Validate(); err != nil {
			return eris.Wrapf(err, "change %s", change.ID)
		}
		if change.Stage < 0 || change.Stage > change.Rule.lastStage() {
			return eris.Errorf("change %s: stage out of range", change.ID)
		}
		models[change.Rule.Model] = append(models[change.Rule.Model], change)
	}
	c.models = models
	return nil
}
