package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ibiswinch/standin/keyedlog"
)

const (
	// faultInterval is the mean time between the starts of two faults. In its default length, a seed has each fault at
	// least once.
	faultInterval = 500 * time.Millisecond
	// failingPercent is the share of runs that fail at a failing backend server.
	failingPercent = 40
	// maxLateAppend bounds how long after its caller has lost the answer an append is carried out, maxRewrite how long
	// after a restore the operator and the backend servers write again.
	maxLateAppend = 3 * time.Second
	maxRewrite    = 2 * time.Second
)

// faultInjector injects faults and changes, several of which are active at the same time.
type faultInjector struct {
	fleet    *fleet
	recorder *recorder
	random   *rand.Rand
	counts   map[string]int
	log      *faultLog
	wg       sync.WaitGroup
}

// faults are the kinds of faults and changes. Each function makes all its choices, starts the fault and returns its name.
var faults = []func(*faultInjector) string{
	(*faultInjector).stopOnce, (*faultInjector).stopInSeries, (*faultInjector).kill, (*faultInjector).pause,
	(*faultInjector).cutStoreLink, (*faultInjector).cutServerLink,
	(*faultInjector).failServer, (*faultInjector).failResumedStreams, (*faultInjector).fillServer,
	(*faultInjector).refuseWithRetryTime, (*faultInjector).repeatRefusals, (*faultInjector).limitServer,
	(*faultInjector).silenceServer, (*faultInjector).replaceServer, (*faultInjector).sendEndlessBodies,
	(*faultInjector).failStore, (*faultInjector).silenceStore, (*faultInjector).delayAppends,
	(*faultInjector).restoreStore, (*faultInjector).restoreStore, (*faultInjector).configure, (*faultInjector).configure,
}

// run injects faults for about a time. Each kind comes once, in random order, before any comes again.
func (fi *faultInjector) run(length time.Duration) {
	var order []int
	for range length / faultInterval {
		if len(order) == 0 {
			order = fi.random.Perm(len(faults))
		}
		name := faults[order[0]](fi)
		fi.counts[name]++
		fi.log.add(name, "starts")
		order = order[1:]
		time.Sleep(fi.between(faultInterval/5, 2*faultInterval-faultInterval/5))
	}
	fi.wg.Wait()
}

// between returns a random time of at least low and less than high.
func (fi *faultInjector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(fi.random.Int64N(int64(high-low)))
}

// span returns the random length of a fault.
func (fi *faultInjector) span() time.Duration {
	return fi.between(300*time.Millisecond, 2800*time.Millisecond)
}

func (fi *faultInjector) vm() *vm { return fi.fleet.vms[fi.random.IntN(vmCount)] }

func (fi *faultInjector) backend() *backend { return fi.fleet.backends[fi.random.IntN(backendCount)] }

// start runs f in the background.
func (fi *faultInjector) start(f func()) { fi.wg.Go(f) }

// startDisturbance runs f, which injects a fault that excuses lost answers, in the background.
func (fi *faultInjector) startDisturbance(d *disturbances, f func()) {
	end := d.begin()
	fi.wg.Go(func() {
		defer end()
		f()
	})
}

func (fi *faultInjector) stopOnce() string {
	v := fi.vm()
	fi.start(func() { fi.stopPlanned(v) })
	return "planned stop"
}

// stopInSeries stops a process twice, the second time at any moment of its start or soon after it.
func (fi *faultInjector) stopInSeries() string {
	v, wait := fi.vm(), fi.between(0, 200*time.Millisecond)
	if fi.random.IntN(2) == 0 {
		wait = fi.between(200*time.Millisecond, 1500*time.Millisecond)
	}
	fi.start(func() {
		fi.stopPlanned(v)
		time.Sleep(wait)
		fi.stopPlanned(v)
	})
	return "planned stops in series"
}

// stopPlanned stops a process with SIGTERM and starts it again.
func (fi *faultInjector) stopPlanned(v *vm) {
	if !v.restarting.CompareAndSwap(0, 1) {
		return
	}
	defer v.restarting.Store(0)
	began := time.Now()
	fi.log.add("planned stop", v.name)
	v.signal(syscall.SIGTERM)
	killed := v.waitExit(gracePeriod)
	if killed && !v.disturbances.between(began, time.Now()) {
		fi.recorder.problem("LOST: %s did not end within its grace period", v.name)
	}
	fi.restart(v)
}

func (fi *faultInjector) kill() string {
	v, down := fi.vm(), fi.span()/4
	fi.startDisturbance(&v.disturbances, func() {
		if !v.restarting.CompareAndSwap(0, 1) {
			return
		}
		defer v.restarting.Store(0)
		fi.log.add("kill", v.name)
		v.signal(syscall.SIGKILL)
		v.waitExit(time.Second)
		time.Sleep(down)
		fi.restart(v)
	})
	return "kill"
}

func (fi *faultInjector) restart(v *vm) {
	if err := v.start(fi.fleet.binary); err != nil {
		fi.recorder.problem("start of %s failed: %v", v.name, err)
	}
}

func (fi *faultInjector) pause() string {
	v, span := fi.vm(), fi.span()
	fi.startDisturbance(&v.disturbances, func() {
		v.signal(syscall.SIGSTOP)
		time.Sleep(span)
		v.signal(syscall.SIGCONT)
	})
	return "pause"
}

// linkFault returns the random state of a faulty link.
func (fi *faultInjector) linkFault() linkState {
	return linkState(1 + fi.random.IntN(len(linkNames)-1))
}

func (fi *faultInjector) cutStoreLink() string {
	v, state, span := fi.vm(), fi.linkFault(), fi.span()
	fi.start(func() { v.storeProxy.disturb(state, span) })
	return "store link " + linkNames[state]
}

func (fi *faultInjector) cutServerLink() string {
	i, state, span := fi.random.IntN(backendCount), fi.linkFault(), fi.span()
	fi.startDisturbance(&fi.fleet.backends[i].disturbances, func() { fi.fleet.serverProxies[i].disturb(state, span) })
	return "server link " + linkNames[state]
}

// disturb puts the proxy in a state for a time.
func (p *proxy) disturb(state linkState, span time.Duration) {
	p.set(state)
	time.Sleep(span)
	p.set(linkOpen)
}

func (fi *faultInjector) failServer() string {
	b, span := fi.backend(), fi.span()
	fi.startDisturbance(&b.disturbances, func() {
		b.failing.Store(failingPercent)
		time.Sleep(span)
		b.failing.Store(0)
	})
	return "server failing"
}

// failResumedStreams has one server fail and all servers answer the streams that are resumed with an error.
func (fi *faultInjector) failResumedStreams() string {
	failing, span := fi.backend(), fi.span()
	fi.startDisturbance(&failing.disturbances, func() {
		failing.failing.Store(failingPercent)
		for _, b := range fi.fleet.backends {
			b.failingResumed.Store(true)
		}
		time.Sleep(span)
		failing.failing.Store(0)
		for _, b := range fi.fleet.backends {
			b.failingResumed.Store(false)
		}
	})
	return "resumed streams failing"
}

func (fi *faultInjector) fillServer() string {
	b, span := fi.backend(), fi.span()
	fi.start(func() {
		b.refusing.Store(true)
		time.Sleep(span)
		b.refusing.Store(false)
	})
	return "server full"
}

func (fi *faultInjector) refuseWithRetryTime() string {
	b, span, wait := fi.backend(), fi.span(), fi.between(800*time.Millisecond, 2500*time.Millisecond)
	fi.start(func() {
		b.retryAfter.Store(wait.Milliseconds())
		b.refusing.Store(true)
		time.Sleep(span)
		b.refusing.Store(false)
		b.retryAfter.Store(0)
	})
	return "server refusing until a time"
}

func (fi *faultInjector) repeatRefusals() string {
	b, span := fi.backend(), fi.span()
	fi.start(func() {
		b.repeatingRefusals.Store(true)
		time.Sleep(span)
		b.repeatingRefusals.Store(false)
	})
	return "refusals repeated"
}

func (fi *faultInjector) limitServer() string {
	b, span, limit := fi.backend(), fi.span(), 5+fi.random.Int32N(30)
	fi.start(func() {
		b.limit.Store(limit)
		time.Sleep(span)
		b.limit.Store(0)
	})
	return "server limit"
}

// silenceServer has a server send nothing for about a second. It loses nothing.
func (fi *faultInjector) silenceServer() string {
	b, span := fi.backend(), fi.between(800*time.Millisecond, 1300*time.Millisecond)
	b.silentUntil.Store(time.Now().Add(span).UnixMilli())
	fi.start(func() { time.Sleep(span) })
	return "server silent"
}

// replaceServer has a server announce that it leaves, leave after its runs, and start again under its id. It announces
// it in its answers, and in some cases also in its entry or by removing that.
func (fi *faultInjector) replaceServer() string {
	b, span := fi.backend(), fi.between(2500*time.Millisecond, 4*time.Second)
	state := []string{stateReady, stateDraining, stateUnlisted}[fi.random.IntN(3)]
	fi.start(func() {
		if !b.replacing.CompareAndSwap(false, true) {
			return
		}
		defer b.replacing.Store(false)
		b.leaving.Store(true)
		b.setState(fi.fleet.store, state)
		time.Sleep(span)
		b.setState(fi.fleet.store, stateUnlisted)
		b.shutdown()
		if err := b.start(); err != nil {
			fi.recorder.problem("start of %s failed: %v", b.id, err)
			return
		}
		b.setState(fi.fleet.store, stateReady)
	})
	return "server replaced"
}

func (fi *faultInjector) sendEndlessBodies() string {
	b, span := fi.backend(), fi.span()
	fi.start(func() {
		b.endless.Store(true)
		time.Sleep(span)
		b.endless.Store(false)
	})
	return "bodies without end"
}

func (fi *faultInjector) failStore() string {
	kind := []keyedlog.Fault{keyedlog.Unavailable, keyedlog.AnswerLost, keyedlog.NoAnswer}[fi.random.IntN(3)]
	fi.startStoreFault(storeFault{kind: kind, share: fi.random.Float64()}, fi.span())
	return "store fault"
}

func (fi *faultInjector) silenceStore() string {
	fi.startStoreFault(storeFault{kind: keyedlog.Silent, share: 1}, fi.span())
	return "store silent"
}

func (fi *faultInjector) startStoreFault(fault storeFault, span time.Duration) {
	fi.start(func() {
		end := fi.fleet.storeFaults.begin(fault)
		time.Sleep(span)
		end()
	})
}

// delayAppends has a share of the appends carried out after their callers have lost the answers.
func (fi *faultInjector) delayAppends() string {
	fault, span, late := storeFault{kind: keyedlog.Late, share: fi.random.Float64()}, fi.span(), fi.between(300*time.Millisecond, maxLateAppend)
	fi.fleet.setTimings(func(t *keyedlog.Timings) { t.Late = late })
	fi.startStoreFault(fault, span)
	return "late appends"
}

// restoreStore has the store go down and come back from a copy. The fault lasts until the operator and the backend
// servers have written again what was lost. In every second case an entry VM is stopped meanwhile.
func (fi *faultInjector) restoreStore() string {
	down, age := fi.between(500*time.Millisecond, 2*time.Second), fi.between(2*time.Second, 9*time.Second)
	rewrite := fi.between(100*time.Millisecond, maxRewrite)
	fault := storeFault{kind: []keyedlog.Fault{keyedlog.Unavailable, keyedlog.NoAnswer}[fi.random.IntN(2)], share: 1}
	v, stop, wait := fi.vm(), fi.random.IntN(2) == 0, fi.between(0, down+rewrite)
	fi.start(func() {
		end := fi.fleet.storeFaults.begin(fault)
		for _, v := range fi.fleet.vms {
			v.storeProxy.closeAll()
		}
		time.Sleep(down)
		fi.fleet.setTimings(func(t *keyedlog.Timings) { t.Rewrite = rewrite })
		age := min(age, time.Since(fi.fleet.storeReady))
		fi.fleet.store.Restore(age)
		end()
		fi.log.add("store restored", fmt.Sprintf("era %d, copy %v old, lost entries written again after %v", fi.fleet.store.Era(), age, rewrite))
		time.Sleep(rewrite)
	})
	if stop {
		fi.start(func() {
			time.Sleep(wait)
			fi.stopPlanned(v)
		})
	}
	return "store restored"
}

// configure publishes a configuration with a new route and more tokens for a team.
func (fi *faultInjector) configure() string {
	v, dropHistory := fi.vm(), fi.random.IntN(2) == 0
	fi.fleet.addPrepaid(teams[fi.random.IntN(len(teams))], topUp)
	fi.fleet.publish()
	if dropHistory {
		fi.fleet.store.DropHistory("keyed.op", "0")
	}
	v.signal(syscall.SIGHUP)
	return "configuration"
}
