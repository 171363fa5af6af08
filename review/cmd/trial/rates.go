//go:build review

package main

import (
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { trials["settings-change"] = settingsChange }

const (
	// prepaid is what each tenant may consume.
	prepaid = 48_000
	// spendingTime is the time for which the tenants spend before the rolling restart, and after it.
	spendingTime = 8 * time.Second
)

// Store rates of the settings: those of mvppsa-keep, and those of the same deployment after it has grown.
var (
	ratesBefore = []string{"writes_per_s = 600", "reads_per_s = 2000", "parts = 12"}
	ratesGrown  = []string{"writes_per_s = 1200", "reads_per_s = 6000", "parts = 24"}
)

// settingsChange has tenants spend most of their prepaid tokens. Then the settings files change: the store allows more calls, as in
// the grown deployment. One machine gets SIGHUP; all are stopped and started in turn, with the settings in effect. The tenants go on spending.
func settingsChange(t *trial) error {
	names := []string{"huka270", "pemo118", "lidu905", "savi441"}
	routes, services := askRoute()
	var tenants []map[string]any
	for _, name := range names {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{"key-of-" + name}, "priority": 1, "prepaid": prepaid})
	}
	t.publish(routes, services, tenants)
	for i := range 2 {
		if _, err := t.startEngine(i); err != nil {
			return err
		}
	}
	if err := t.startVMs(2); err != nil {
		return err
	}
	var mu sync.Mutex
	inRotation := slices.Clone(t.vms)
	up := func(i int) *vm {
		mu.Lock()
		defer mu.Unlock()
		return inRotation[i%len(inRotation)]
	}
	setRotation := func(vms ...*vm) {
		mu.Lock()
		defer mu.Unlock()
		inRotation = vms
	}
	u := &usage{delivered: map[string]int64{}, statuses: map[string]map[int]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { u.runAsks(t, names, up, 25*time.Millisecond, stop) })
	time.Sleep(spendingTime)
	u.log(t, names, prepaid)
	if t.trouble {
		if err := t.vms[0].setRates(); err != nil {
			return err
		}
		_ = t.vms[0].cmd.Process.Signal(syscall.SIGHUP)
		t.note("the settings change to the store rates %v; one of the two machines gets SIGHUP, the other the new file at its next start", ratesGrown)
	}
	time.Sleep(time.Second)
	for i, v := range t.vms {
		setRotation(t.vms[1-i])
		if t.trouble && i > 0 {
			if err := v.setRates(); err != nil {
				return err
			}
		}
		if err := t.restart(v); err != nil {
			return err
		}
	}
	setRotation(t.vms...)
	time.Sleep(spendingTime)
	close(stop)
	wg.Wait()
	u.log(t, names, prepaid)
	for _, name := range names {
		if u.delivered[name] > prepaid {
			return errBroken
		}
	}
	return nil
}

// setRates replaces the store rates in the settings file.
func (v *vm) setRates() error {
	text, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	changed := string(text)
	for i, old := range ratesBefore {
		changed = strings.Replace(changed, old+"\n", ratesGrown[i]+"\n", 1)
	}
	return os.WriteFile(v.settings, []byte(changed), 0o600)
}

// restart stops an entry VM as planned and starts it again.
func (t *trial) restart(v *vm) error {
	t.note("%s gets SIGTERM", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(gracePeriod, func() { _ = v.cmd.Process.Kill() })
	_ = v.cmd.Wait()
	kill.Stop()
	t.note("%s has ended", v.name)
	if err := t.start(v); err != nil {
		return err
	}
	if err := v.awaitReady(startTimeout); err != nil {
		return err
	}
	t.note("%s is ready", v.name)
	return nil
}

// log notes what the tenants got of the tokens that each has paid for.
func (u *usage) log(t *trial, names []string, paid int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		t.note("tenant %s got %d of %d prepaid tokens; answers by status: %v", name, u.delivered[name], paid, u.statuses[name])
	}
}
