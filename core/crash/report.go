package crash

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/call"
)

const (
	// maxNameBytes bounds the names in a record.
	maxNameBytes = 128
	// maxListed bounds each list of a record.
	maxListed = 512
)

// ErrInvalid is returned for a record that fails Validate.
var ErrInvalid = eris.New("invalid crash record")

// Subject is something that requests have in common and that may crash the servers that run it: the whole request, or a
// part of its prompt.
type Subject string

// RequestSubject returns the subject of the whole request, the same for repeats by its caller.
func RequestSubject(c *call.Call) Subject { return Subject("request:" + c.Fingerprint()) }

// A part of the prompt may crash servers before they answer, or once they have begun to. These are two subjects: an answer that begins
// clears only the first.
const (
	partPrefix      = "part:"
	begunPartPrefix = "begun:"
)

// PartSubjects returns the subjects of the parts of the prompt that other requests may share, for crashes before an answer.
func PartSubjects(c *call.Call) []Subject { return appendParts(nil, partPrefix, c) }

// BegunPartSubjects returns the subjects of these parts for crashes soon after the first event of an answer.
func BegunPartSubjects(c *call.Call) []Subject { return appendParts(nil, begunPartPrefix, c) }

func appendParts(subjects []Subject, prefix string, c *call.Call) []Subject {
	for _, id := range c.SharedPartIDs() {
		subjects = append(subjects, Subject(prefix+id))
	}
	return subjects
}

// Subjects returns all subjects of a request.
func Subjects(c *call.Call) []Subject {
	return append(appendParts(PartSubjects(c), begunPartPrefix, c), RequestSubject(c))
}

// CrashSubjects returns the subjects that are charged with a crash of the server of a request, whose first event came at firstAt, zero
// if none has come. Other requests share the parts, so they aren't charged once the answer has gone on for some time.
func CrashSubjects(c *call.Call, now, firstAt time.Time) []Subject {
	var subjects []Subject
	switch {
	case firstAt.IsZero():
		subjects = PartSubjects(c)
	case !HasBegun(now, firstAt):
		subjects = BegunPartSubjects(c)
	}
	return append(subjects, RequestSubject(c))
}

// Incident names a subject and a server that crashed, or may have, with a request of this subject in flight.
type Incident struct {
	Subject Subject `json:"subject"`
	// Server names one incarnation of a server, which can crash only once.
	Server string `json:"server"`
}

func (i Incident) isValid() bool {
	return i.Subject != "" && len(i.Subject) <= maxNameBytes && i.Server != "" && len(i.Server) <= maxNameBytes
}

// Report is the report of one entry VM about an incident. Times are the fleet's.
type Report struct {
	Incident
	SentAt    time.Time `json:"sentAt"`
	CrashedAt time.Time `json:"crashedAt"`
}

// Record is what one entry VM tells the others.
type Record struct {
	Reports []Report `json:"reports,omitempty"`
	// Cleared are incidents whose subject was answered afterwards.
	Cleared []Clearance `json:"cleared,omitempty"`
}

// Without returns the record without the incidents that are listed in others.
func (r Record) Without(others []Record) Record {
	reported, cleared := map[Incident]bool{}, map[Incident]bool{}
	for _, o := range others {
		for _, report := range o.Reports {
			reported[report.Incident] = true
		}
		for _, c := range o.Cleared {
			cleared[c.Incident] = true
		}
	}
	var rest Record
	for _, report := range r.Reports {
		if !reported[report.Incident] {
			rest.Reports = append(rest.Reports, report)
		}
	}
	for _, c := range r.Cleared {
		if !cleared[c.Incident] {
			rest.Cleared = append(rest.Cleared, c)
		}
	}
	return rest
}

// Clearance ends the suspicion that a subject has caused an incident.
type Clearance struct {
	Incident
	At time.Time `json:"at"`
}

// Validate checks a record of another entry VM.
func (r Record) Validate() error {
	_, err := r.Sound()
	return err
}

// Sound returns the record without its invalid entries, and the error of the first of these.
func (r Record) Sound() (Record, error) {
	if len(r.Reports) > maxListed || len(r.Cleared) > maxListed {
		return Record{}, eris.Wrapf(ErrInvalid, "%d reports, %d cleared", len(r.Reports), len(r.Cleared))
	}
	var sound Record
	var first error
	for _, report := range r.Reports {
		if err := report.validate(); err != nil {
			first = cmp.Or(first, err)
			continue
		}
		sound.Reports = append(sound.Reports, report)
	}
	for _, c := range r.Cleared {
		if err := c.validate(); err != nil {
			first = cmp.Or(first, err)
			continue
		}
		sound.Cleared = append(sound.Cleared, c)
	}
	return sound, first
}

func (r Report) validate() error {
	if !r.isValid() || r.SentAt.IsZero() || r.CrashedAt.Before(r.SentAt) {
		return eris.Wrapf(ErrInvalid, "report of %.32q at %.32q", r.Subject, r.Server)
	}
	return nil
}

func (c Clearance) validate() error {
	if !c.isValid() || c.At.IsZero() {
		return eris.Wrapf(ErrInvalid, "clearance of %.32q at %.32q", c.Subject, c.Server)
	}
	return nil
}
