package retry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestRetryDecisions guards against retries that multiply the load, and against retries of attempts that must not be retried.
func TestRetryDecisions(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(2)
	p := retry.Policy{Budget: b}
	ok := retry.Attempt{Count: 1, Idempotent: true, Deadline: epoch.Add(time.Second)}
	with := func(change func(*retry.Attempt)) retry.Decision {
		a := ok
		change(&a)
		return p.Decide(epoch, a)
	}
	c.Assert(with(func(a *retry.Attempt) { a.Idempotent = false }), qt.Equals, retry.NotIdempotent)
	c.Assert(with(func(a *retry.Attempt) { a.BytesSent = true }), qt.Equals, retry.PartlySent)
	c.Assert(with(func(a *retry.Attempt) { a.Count = 4 }), qt.Equals, retry.TooManyAttempts)
	c.Assert(with(func(a *retry.Attempt) { a.Deadline = epoch }), qt.Equals, retry.DeadlinePassed)
	c.Assert(with(func(a *retry.Attempt) { a.Idempotent, a.NotRun = false, true }), qt.Equals, retry.Retry)
	c.Assert(with(func(a *retry.Attempt) { a.BytesSent, a.Resumable = true, true }), qt.Equals, retry.Resume)
	c.Assert(p.Decide(epoch, ok), qt.Equals, retry.BudgetExhausted)
	retries := 0
	for range 1000 {
		b.AddRequest()
		if p.Decide(epoch, ok) == retry.Retry {
			retries++
		}
	}
	c.Assert(retries, qt.Equals, 100)
}

// TestQuarantineMerge guards against entry VMs that treat a fingerprint differently after the same reports in another
// order. The oracle is an unbounded set of the reports after the last completion.
func TestQuarantineMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.Custom(func(t *rapid.T) time.Time {
			return epoch.Add(time.Duration(rapid.IntRange(1, 14).Draw(t, "at")) * 2 * time.Second)
		})
		one := rapid.Custom(func(t *rapid.T) retry.Entry {
			e := retry.Entry{
				Fingerprint: rapid.SampledFrom([]string{"f", "g", "h"}).Draw(t, "fingerprint"),
				ExpiresAt:   epoch.Add(time.Hour),
			}
			for range rapid.IntRange(0, 4).Draw(t, "crashes") {
				server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server")
				e.Crashes = append(e.Crashes, retry.Crash{Server: server, At: at.Draw(t, "crash")})
			}
			if rapid.IntRange(0, 5).Draw(t, "completes") == 0 {
				e.ClearedAt = at.Draw(t, "cleared")
			}
			return e
		})
		all := rapid.SliceOfN(one, 1, 20).Draw(t, "entries")
		a, b := retry.NewQuarantine(retry.QuarantineConfig{}), retry.NewQuarantine(retry.QuarantineConfig{})
		a.Merge(epoch.Add(time.Minute), all)
		for _, e := range append(rapid.Permutation(all).Draw(t, "order"), all...) {
			b.Merge(epoch.Add(time.Minute), []retry.Entry{e})
			b.Check(epoch.Add(time.Minute), e.Fingerprint)
		}
		if got, want := fmt.Sprint(b.Dump()), fmt.Sprint(a.Dump()); got != want {
			t.Fatalf("got  %s\nwant %s", got, want)
		}
		anyQuarantined := false
		for _, s := range a.Dump() {
			anyQuarantined = anyQuarantined || s.State == retry.Quarantined
		}
		for _, s := range a.Dump() {
			n := oracle(all, s.Fingerprint)
			wrong := s.State == retry.Quarantined && n < 2 || s.State == retry.Suspect && n < 1 ||
				s.State == retry.Clear && n > 0 && !anyQuarantined || s.State != retry.Quarantined && n > 1 && !anyQuarantined
			if wrong {
				t.Fatalf("%s is %s with %d crashes", s.Fingerprint, s.State, n)
			}
		}
	})
}

// oracle counts the crashes of a fingerprint after its last completion.
func oracle(all []retry.Entry, fingerprint string) int {
	// Reports of a server are grouped from the earliest one of any fingerprint on. All times are multiples of 2 s.
	count := map[string]bool{}
	for _, server := range []string{"s1", "s2"} {
		var first time.Time
		for step := range 15 {
			now := epoch.Add(time.Duration(step) * 2 * time.Second)
			for _, e := range all {
				for _, c := range e.Crashes {
					if c.Server != server || !c.At.Equal(now) || !now.After(lastCompletion(all, e.Fingerprint)) {
						continue
					}
					if first.IsZero() || now.Sub(first) >= 5*time.Second {
						first = now
					}
					if e.Fingerprint == fingerprint {
						count[fmt.Sprint(server, first)] = true
					}
				}
			}
		}
	}
	return len(count)
}

func lastCompletion(all []retry.Entry, fingerprint string) (cleared time.Time) {
	for _, e := range all {
		if e.Fingerprint == fingerprint && e.ClearedAt.After(cleared) {
			cleared = e.ClearedAt
		}
	}
	return cleared
}

// inFlight returns requests that started one after the other.
func inFlight(fingerprints ...string) (list []retry.InFlight) {
	for i, f := range fingerprints {
		list = append(list, retry.InFlight{Fingerprint: f, Started: epoch.Add(time.Duration(i) * time.Millisecond)})
	}
	return list
}

// TestKnownCauseClearsOthers guards against innocent requests that stay suspects or are refused for crashes that other
// requests caused, and against a quarantine that never ends.
func TestKnownCauseClearsOthers(t *testing.T) {
	c := qt.New(t)
	q := retry.NewQuarantine(retry.QuarantineConfig{})
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	state := func(f string) retry.State { return q.Check(at(60), f).State }
	q.Crashed(at(0), "s1", inFlight("other", "bad"))
	c.Assert(state("bad"), qt.Equals, retry.Suspect)
	q.Crashed(at(20), "s2", inFlight("bad"))
	c.Assert(state("bad"), qt.Equals, retry.Quarantined)
	c.Assert(state("other"), qt.Equals, retry.Clear)
	// A first crash that another request causes doesn't count as the second one of a request that was cleared.
	q.Crashed(at(30), "s3", inFlight("other", "calm", "worse"))
	c.Assert(state("other"), qt.Equals, retry.Suspect)
	q.Crashed(at(40), "s4", inFlight("worse"))
	c.Assert(state("worse"), qt.Equals, retry.Quarantined)
	c.Assert(state("other"), qt.Equals, retry.Clear)
	c.Assert(q.Check(at(60), "worse").Avoid, qt.DeepEquals, []string{"s3", "s4"})
	q.Crashed(at(50), "s5", inFlight("slow"))
	q.Completed(at(55), "slow")
	c.Assert(state("slow"), qt.Equals, retry.Clear)
	c.Assert(q.Entries(2), qt.HasLen, 2)
	q.Expire(at(640))
	c.Assert(q.Check(at(640), "worse").State, qt.Equals, retry.Clear)
	c.Assert(q.Merge(at(0), []retry.Entry{{}}), qt.Equals, 1)
}

// TestMisjudgedRequestIsCleared guards against an innocent request that stays quarantined: it was in flight at the
// crashes of two other requests before either was known as the cause, and must be cleared once both are.
func TestMisjudgedRequestIsCleared(t *testing.T) {
	c := qt.New(t)
	q := retry.NewQuarantine(retry.QuarantineConfig{})
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	q.Crashed(at(0), "s1", inFlight("unlucky", "bad"))
	q.Crashed(at(20), "s2", inFlight("unlucky", "worse"))
	c.Assert(q.Check(at(60), "unlucky").State, qt.Equals, retry.Quarantined)
	// Both other requests started after it, so they stay suspects, and each is quarantined at its second crash.
	for i, f := range []string{"bad", "worse"} {
		c.Assert(q.Check(at(60), f).State, qt.Equals, retry.Suspect)
		q.Crashed(at(30+i), fmt.Sprint("s", 3+i), inFlight(f))
	}
	c.Assert(q.Check(at(60), "bad").State, qt.Equals, retry.Quarantined)
	c.Assert(q.Check(at(60), "unlucky").State, qt.Equals, retry.Clear)
}

// BenchmarkQuarantineLookup guards against a check that costs requests with a clear fingerprint an allocation.
func BenchmarkQuarantineLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		q := retry.NewQuarantine(retry.QuarantineConfig{})
		for i := range n {
			q.Crashed(epoch.Add(time.Duration(i)*20*time.Second/50), fmt.Sprint("s", i/50), inFlight(fmt.Sprint("f", i)))
		}
		check := func() { q.Check(epoch, "innocent") }
		check()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				check()
			}
		})
		if allocs := testing.AllocsPerRun(100, check); allocs > 0 {
			b.Fatalf("lookup among %d entries allocates %v times", n, allocs)
		}
	}
}

// TestSecondCrashOfServerIsMissed guards against a request that crashes a server that restarts fast more than twice: the
// second crash must not be so soon after the first that both are taken for one.
func TestSecondCrashOfServerIsMissed(t *testing.T) {
	for _, clockError := range []time.Duration{-4 * time.Second, 0, 4 * time.Second, 20 * time.Second} {
		c := qt.New(t)
		q := retry.NewQuarantine(retry.QuarantineConfig{})
		now := epoch
		crash := []retry.InFlight{{Fingerprint: "poison", Started: now}}
		// An entry VM with another clock has noticed the crash.
		q.Crashed(now.Add(clockError), "s1", crash)
		for {
			check := q.Check(now, "poison")
			c.Assert(check.State, qt.Equals, retry.Suspect)
			if len(check.Barred) == 0 {
				break
			}
			c.Assert(check.Barred, qt.DeepEquals, []string{"s1"})
			c.Assert(check.BarredUntil.After(now), qt.IsTrue)
			now = check.BarredUntil
		}
		c.Assert(now.Sub(epoch) < 10*time.Second, qt.IsTrue, qt.Commentf("%s", now.Sub(epoch)))
		q.Crashed(now, "s1", crash)
		c.Assert(q.Check(now, "poison").State, qt.Equals, retry.Quarantined, qt.Commentf("clock error %s", clockError))
	}
}
