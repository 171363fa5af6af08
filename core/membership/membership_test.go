package membership_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/membership"
	"ibiswinch/core/record"
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

func member(vm, incarnation, domain string, heartbeat uint64) membership.Member {
	return membership.Member{
		Author:    record.Author{VM: vm, Incarnation: incarnation},
		Domain:    domain,
		Addr:      netip.MustParseAddrPort("10.0.0.1:7000"),
		Heartbeat: heartbeat,
	}
}

func newView(vm, domain string) *membership.View {
	return membership.NewView(membership.Config{Self: member(vm, "1", domain, 1000)})
}

// TestMergeOrderDoesNotMatter guards against views that stay different after the same digests, and against an old
// incarnation that a late digest brings back. Expected is the greatest (heartbeat, incarnation) per VM.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) membership.Member {
			m := member(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "vm"),
				rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation"),
				rapid.SampledFrom([]string{"x", "y"}).Draw(t, "domain"), rapid.Uint64Range(1, 4).Draw(t, "heartbeat"))
			m.Leaving = rapid.Bool().Draw(t, "leaving")
			return m
		})
		all := rapid.SliceOfN(one, 1, 12).Draw(t, "members")
		other := append(rapid.Permutation(all).Draw(t, "order"), all...)
		a, b := newView("a", "x"), newView("a", "x")
		a.Merge(epoch, all)
		for _, m := range other {
			b.Merge(epoch, []membership.Member{m})
		}
		if got, want := fmt.Sprint(b.Dump(epoch)), fmt.Sprint(a.Dump(epoch)); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
		want := map[string]membership.Member{}
		for _, m := range all {
			o := want[m.Author.VM]
			if m.Heartbeat > o.Heartbeat || m.Heartbeat == o.Heartbeat && m.Author.Incarnation > o.Author.Incarnation {
				want[m.Author.VM] = m
			}
		}
		for vm, o := range want {
			if got, _ := a.Lookup(vm); got.Author != o.Author || got.Heartbeat != o.Heartbeat {
				t.Fatalf("%s is %v, want %v", vm, got, o)
			}
		}
	})
}

// TestSilentMemberIsSuspectedThenForgotten guards against a dead VM that stays live, an old digest that makes it live
// again, and a pause of this VM after which all others are suspected.
func TestSilentMemberIsSuspectedThenForgotten(t *testing.T) {
	c := qt.New(t)
	v := newView("a", "x")
	dead := member("b", "1", "x", 5)
	v.Merge(epoch, []membership.Member{dead})
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	live := func(now time.Time) int { return len(v.Live(now, "x")) }
	c.Assert(live(at(2900*time.Millisecond)), qt.Equals, 2)
	v.Merge(at(2900*time.Millisecond), []membership.Member{dead})
	c.Assert(live(at(3*time.Second)), qt.Equals, 1)
	c.Assert(v.Digest(at(3*time.Second), 5), qt.HasLen, 1)
	c.Assert(v.Partners(at(3*time.Second)), qt.HasLen, 1)
	dead.Heartbeat++
	v.Merge(at(4*time.Second), []membership.Member{dead})
	c.Assert(live(at(4*time.Second)), qt.Equals, 2)
	v.StartRound(at(4 * time.Second))
	v.StartRound(at(time.Hour))
	c.Assert(live(at(time.Hour)), qt.Equals, 2)
	for s := range 601 {
		v.StartRound(at(time.Hour + time.Duration(s)*time.Second))
	}
	_, known := v.Lookup("b")
	c.Assert(known, qt.IsFalse)
}

// TestRestartedAndReplacedProcess guards against a process that peers ignore because it restarted with a clock set back, and against a
// replaced process that displaces its successor after a pause.
func TestRestartedAndReplacedProcess(t *testing.T) {
	c := qt.New(t)
	v := newView("a", "x")
	v.Merge(epoch, []membership.Member{member("a", "0", "x", 5000)})
	c.Assert(v.Self().Heartbeat, qt.Equals, uint64(5001))
	c.Assert(v.Replaced(), qt.IsFalse)
	v.Merge(epoch, []membership.Member{v.Self(), member("a", "2", "x", 9000)})
	c.Assert(v.Replaced(), qt.IsTrue)
	c.Assert(v.Self().Heartbeat, qt.Equals, uint64(5001))
	c.Assert(v.Merge(epoch, []membership.Member{{}}), qt.Equals, 1)
}

// TestRankMovesFewKeys guards against keys that move between the remaining VMs when one leaves.
func TestRankMovesFewKeys(t *testing.T) {
	c := qt.New(t)
	v := newView("a", "x")
	v.Merge(epoch, []membership.Member{member("b", "1", "x", 1), member("c", "1", "x", 1), member("d", "1", "y", 1)})
	keys := map[string]string{}
	count := map[string]int{}
	for i := range 3000 {
		key := fmt.Sprint("team", i)
		keys[key] = v.Rank(epoch, "x", key, 3)[0].Author.VM
		count[keys[key]]++
	}
	for _, vm := range []string{"a", "b", "c"} {
		c.Assert(count[vm] > 900 && count[vm] < 1100, qt.IsTrue, qt.Commentf("%v", count))
	}
	v.SetListedVMs([]membership.ListedVM{{VM: "c", Domain: "x", Addr: netip.MustParseAddrPort("10.0.0.3:1"), Leaving: true}})
	for key, vm := range keys {
		now := v.Rank(epoch, "x", key, 3)[0].Author.VM
		c.Assert(now, qt.Not(qt.Equals), "c")
		c.Assert(vm == "c" || vm == now, qt.IsTrue)
	}
}

// newLargeView returns the view of one of n VMs in 15 domains, and the other members.
func newLargeView(n int) (*membership.View, []membership.Member) {
	v := newView("vm0000", "d00")
	var all []membership.Member
	for i := 1; i < n; i++ {
		all = append(all, member(fmt.Sprintf("vm%04d", i), "9f86d081", fmt.Sprintf("d%02d", i%15), 1767225600000))
	}
	v.Merge(epoch, all)
	return v, all
}

// TestExchangeStaysWithinBandwidth guards against control traffic that grows with the number of VMs (target 26 KB/s per
// VM), and against VMs that are never chosen as partners or never listed in a digest.
func TestExchangeStaysWithinBandwidth(t *testing.T) {
	c := qt.New(t)
	v, _ := newLargeView(850)
	met := map[string]bool{}
	spread := map[string]bool{}
	for range 19 {
		partners := v.Partners(epoch)
		c.Assert(partners, qt.HasLen, 4)
		for _, p := range partners {
			met[p.VM] = true
		}
	}
	for range 1000 {
		digest := v.Digest(epoch, membership.MaxDigestMembers)
		c.Assert(digest, qt.HasLen, membership.MaxDigestMembers)
		for _, m := range digest {
			spread[m.Author.VM] = true
		}
	}
	c.Assert(spread, qt.HasLen, 850)
	local := 0
	for _, m := range v.Live(epoch, "d00") {
		if met[m.Author.VM] {
			local++
		}
	}
	c.Assert(local, qt.Equals, 56)
	const perSecond = 2 * 2 * 2 * 4
	c.Assert(perSecond*(membership.MaxMessageBytes+membership.HeaderBytes) <= 26000, qt.IsTrue)
}

// BenchmarkDigestMerge guards against a merge of known members that allocates.
func BenchmarkDigestMerge(b *testing.B) {
	for _, n := range []int{8, 100, 850} {
		v, all := newLargeView(n)
		data, err := json.Marshal(v.Digest(epoch, membership.MaxDigestMembers))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				all[i%len(all)].Heartbeat++
				v.Merge(epoch, all[i%len(all):][:1])
			}
			b.ReportMetric(float64(len(data)), "jsonBytes/message")
		})
		if allocs := testing.AllocsPerRun(100, func() { v.Merge(epoch, all) }); allocs > 0 {
			b.Fatalf("merge of %d members allocates %v times", n, allocs)
		}
	}
}
