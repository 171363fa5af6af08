package crash_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/crash"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	document = crash.Subject("part:d")
	session  = crash.Subject("part:5")
	deadly   = crash.Subject("part:dead")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func report(s crash.Subject, server int, sentAt, crashedAt float64) crash.Report {
	return crash.Report{
		Incident: crash.Incident{Subject: s, Server: fmt.Sprintf("s-%d@1", server)}, SentAt: at(sentAt), CrashedAt: at(crashedAt),
	}
}

// addSuccessive adds n crashes with the subjects in flight, each of a request sent after the crash before.
func addSuccessive(e *crash.Evidence, n int, subjects ...crash.Subject) {
	for i := range n {
		for _, s := range subjects {
			e.Add(report(s, i, float64(i), float64(i)+0.5))
		}
	}
}

func refuses(e *crash.Evidence, subjects ...crash.Subject) bool {
	_, refused := e.Check(at(10), subjects, chosen)
	return refused
}

func chosen(string) bool { return true }

// TestSimultaneousCrashesBlameNobody guards against refusing what was in flight everywhere when many servers crash at
// the same time.
func TestSimultaneousCrashesBlameNobody(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	for i := range 20 {
		e.Add(report(document, i, float64(i)/100, 1+float64(i)/100))
	}
	c.Assert(refuses(e, document), qt.IsFalse)
}

// TestRepeatsDuringOutageBlameNobody guards against refusing what was sent again, right after its server had crashed, to servers
// that had crashed at the same time: their connections broke a few milliseconds later.
func TestRepeatsDuringOutageBlameNobody(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	crashedAt := 1.0
	for i := range 4 {
		sentAt := crashedAt + 0.001
		crashedAt = sentAt + 0.004
		e.Add(report(document, i, sentAt, crashedAt))
	}
	c.Assert(refuses(e, document), qt.IsFalse)
}

// TestRepeatsThatCrashAreRefused guards against a quarantine that misses a request that is sent again at once and crashes each server
// as soon as it has read its prompt.
func TestRepeatsThatCrashAreRefused(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	crashedAt := 1.0
	for i := range 3 {
		sentAt := crashedAt + 0.001
		crashedAt = sentAt + 0.07
		e.Add(report(deadly, i, sentAt, crashedAt))
	}
	c.Assert(refuses(e, deadly), qt.IsTrue)
}

// TestSoundSessionIsRefusedWithDeadlyPart guards against refusing requests without the cause because they share another
// part with all requests that had it, and against sending the cause in other company.
func TestSoundSessionIsRefusedWithDeadlyPart(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	addSuccessive(e, 3, session, deadly)
	c.Assert(refuses(e, document, session, deadly), qt.IsTrue)
	c.Assert(refuses(e, document, session), qt.IsFalse)
	e.Answered(at(5), []crash.Subject{document, session})
	c.Assert(refuses(e, document, deadly), qt.IsTrue)
	c.Assert(refuses(e, document, session), qt.IsFalse)
}

// TestAnsweredSubjectStaysInQuarantine guards against a quarantine of something that is answered, and against one that
// begins again through a late report of a crash before the answer.
func TestAnsweredSubjectStaysInQuarantine(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	addSuccessive(e, 3, session)
	c.Assert(refuses(e, session), qt.IsTrue)
	cleared := e.Answered(at(5), []crash.Subject{session})
	c.Assert(cleared, qt.HasLen, 3)
	addSuccessive(e, 3, session)
	c.Assert(refuses(e, session), qt.IsFalse)
	c.Assert(e.IsEmpty(), qt.IsTrue)
}

// TestQuarantineNeverEnds guards against a quarantine that lasts for good, and against one that doesn't last longer when
// the subject crashes a server again.
func TestQuarantineNeverEnds(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	addSuccessive(e, 3, deadly)
	first, refused := e.Check(at(10), []crash.Subject{deadly}, chosen)
	c.Assert(refused, qt.IsTrue)
	_, refused = e.Check(first.Until, []crash.Subject{deadly}, chosen)
	c.Assert(refused, qt.IsFalse)
	e.Add(report(deadly, 9, 100, 101))
	second, refused := e.Check(at(102), []crash.Subject{deadly}, chosen)
	c.Assert(refused, qt.IsTrue)
	c.Assert(second.Until.Sub(at(101)) > first.Until.Sub(at(2.5)), qt.IsTrue)
}

// TestManyPassAfterQuarantine guards against a quarantine whose end lets all waiting requests through at once, or at several entry VMs,
// and against one that an answer doesn't end everywhere.
func TestManyPassAfterQuarantine(t *testing.T) {
	c := qt.New(t)
	const vms, turns = 3, 12
	all := make([]*crash.Evidence, vms)
	for i := range all {
		all[i] = crash.NewEvidence()
		addSuccessive(all[i], 3, deadly, session)
	}
	passed := func(from, to int) (n int) {
		for tenths := 10 * from; tenths < 10*to; tenths++ {
			now := float64(tenths) / 10
			for i, e := range all {
				isChosen := func(key string) bool { return int(key[len(key)-1])%vms == i }
				if q, refused := e.Check(at(now), []crash.Subject{deadly, session, "request:1"}, isChosen); !refused {
					n++
				} else {
					c.Assert(q.Until.After(at(now)), qt.IsTrue)
				}
			}
		}
		return n
	}
	c.Assert(passed(10, 60), qt.Equals, 0)
	c.Assert(passed(65, 65+5*turns), qt.Equals, turns)
	for _, e := range all {
		e.Add(report(deadly, 9, 125.1, 125.2))
	}
	c.Assert(passed(126, 126+115), qt.Equals, 0)
	for _, e := range all {
		e.Answered(at(250), []crash.Subject{deadly, session})
	}
	c.Assert(passed(250, 251), qt.Equals, 10*vms)
}

// TestIncidentsArePiledUp guards against memory that grows with the number of crashes.
func TestIncidentsArePiledUp(t *testing.T) {
	c := qt.New(t)
	e := crash.NewEvidence()
	for i := range 5000 {
		e.Add(report(crash.Subject(fmt.Sprintf("request:%d", i)), i, float64(i), float64(i)))
	}
	addSuccessive(e, 3, deadly)
	first := report("request:0", 0, 0, 0).Incident
	last := report("request:4999", 4999, 0, 0).Incident
	c.Assert(e.Has(first), qt.IsFalse)
	c.Assert(e.Has(last), qt.IsTrue)
	e.Expire(at(5000).Add(time.Hour))
	c.Assert(e.IsEmpty(), qt.IsTrue)
}

// TestInvalidRecordIsMerged guards against merging records that lack names or times.
func TestInvalidRecordIsMerged(t *testing.T) {
	c := qt.New(t)
	good := report(deadly, 1, 1, 2)
	c.Assert(crash.Record{Reports: []crash.Report{good}}.Validate(), qt.IsNil)
	nameless, backwards := good, good
	nameless.Server = ""
	backwards.SentAt = at(3)
	for _, r := range []crash.Report{nameless, backwards, {}} {
		c.Check(crash.Record{Reports: []crash.Report{r}}.Validate(), qt.ErrorIs, crash.ErrInvalid)
	}
	c.Check(crash.Record{Cleared: []crash.Clearance{{Incident: good.Incident}}}.Validate(), qt.ErrorIs, crash.ErrInvalid)
}

// TestVerdictDependsOnOrder guards against entry VMs with equal knowledge that decide differently, as it reached them in
// different orders.
func TestVerdictDependsOnOrder(t *testing.T) {
	subjects := []crash.Subject{document, session, deadly}
	rapid.Check(t, func(t *rapid.T) {
		var steps []func(*crash.Evidence)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := rapid.SampledFrom(subjects).Draw(t, "subject")
			server := rapid.IntRange(0, 5).Draw(t, "server")
			crashedAt := rapid.Float64Range(0, 20).Draw(t, "crashedAt")
			r := report(s, server, crashedAt-rapid.Float64Range(0, 2).Draw(t, "took"), crashedAt)
			if rapid.IntRange(0, 4).Draw(t, "clear") == 0 {
				steps = append(steps, func(e *crash.Evidence) { e.Clear(crash.Clearance{Incident: r.Incident, At: at(crashedAt)}) })
			} else {
				steps = append(steps, func(e *crash.Evidence) { e.Add(r) })
			}
		}
		a, b := crash.NewEvidence(), crash.NewEvidence()
		for _, i := range rapid.Permutation(steps).Draw(t, "order") {
			i(a)
		}
		for _, i := range steps {
			i(b)
		}
		for bits := 1; bits < 8; bits++ {
			var request []crash.Subject
			for i, s := range subjects {
				if bits>>i&1 == 1 {
					request = append(request, s)
				}
			}
			if x, y := refuses(a, request...), refuses(b, request...); x != y {
				t.Fatalf("%v: refused %t in one order, %t in another", request, x, y)
			}
		}
	})
}

// TestDeadlyPartStaysUnnoticed guards against more than three further crashes after the fifth, with sound requests of the
// same parts in flight at each crash and servers that crash for other reasons.
func TestDeadlyPartStaysUnnoticed(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed))
		e := crash.NewEvidence()
		crashes := 0
		for i := range 60 {
			now := float64(i)
			own := crash.Subject(fmt.Sprintf("request:%d", i))
			sessionOf := crash.Subject(fmt.Sprintf("part:%d", random.IntN(3)))
			if !refuses(e, document, sessionOf, deadly, own) {
				crashes++
				for _, s := range []crash.Subject{document, sessionOf, deadly, own} {
					e.Add(report(s, i, now, now+0.3))
				}
			}
			if random.IntN(4) == 0 {
				e.Add(report(sessionOf, 1000+i, now, now+0.2))
			}
			e.Answered(at(now+0.5), []crash.Subject{document, sessionOf})
			c.Assert(refuses(e, document, sessionOf, "request:sound"), qt.IsFalse)
		}
		c.Assert(crashes <= 5, qt.IsTrue, qt.Commentf("seed %d: %d crashes", seed, crashes))
	}
}
