//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { trials["restored-store"] = restoredStore }

const (
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 9 * time.Second
	// quietTime is the time with few calls before the rush, rushTime that of the rush.
	quietTime = 12 * time.Second
	rushTime  = 5 * time.Second
	// downTime is the time from the loss of power until the machines are back.
	downTime = 1500 * time.Millisecond
	// returnTime is the time for which the tenant spends afterwards. It has room for the wait of 8 s before tokens are reserved.
	returnTime = 20 * time.Second
	// prepaidAtRush is what the tenant may consume.
	prepaidAtRush = 200_000
)

// restoredStore has a tenant spend most of its prepaid tokens in a rush of some seconds. Then all machines lose power and the store comes back
// from a copy of before the rush. The tenant goes on spending.
func restoredStore(t *trial) error {
	const name = "huka270"
	routes, services := askRoute()
	t.publish(routes, services, []map[string]any{{"name": name, "api_keys": []string{"key-of-" + name}, "priority": 1, "prepaid": prepaidAtRush}})
	for i := range 2 {
		if _, err := t.startEngine(i); err != nil {
			return err
		}
	}
	if err := t.startVMs(3); err != nil {
		return err
	}
	u := &usage{delivered: map[string]int64{}, statuses: map[string]map[int]int{}}
	up := func(i int) *vm { return t.vms[i%len(t.vms)] }
	u.spend(t, name, up, time.Second, quietTime)
	u.log(t, []string{name}, prepaidAtRush)
	u.spend(t, name, up, 15*time.Millisecond, rushTime)
	u.log(t, []string{name}, prepaidAtRush)
	if t.trouble {
		for _, v := range t.vms {
			_ = v.cmd.Process.Signal(syscall.SIGKILL)
			_ = v.cmd.Wait()
		}
		t.note("all machines lose power")
		t.store.Restore(copyAge)
		t.note("the store comes back from a copy that is %v old", copyAge)
		time.Sleep(downTime)
		for _, v := range t.vms {
			if err := t.start(v); err != nil {
				return err
			}
		}
		for _, v := range t.vms {
			if err := v.awaitReady(startTimeout); err != nil {
				return err
			}
		}
	}
	u.spend(t, name, up, 30*time.Millisecond, returnTime)
	u.log(t, []string{name}, prepaidAtRush)
	if u.delivered[name] > prepaidAtRush {
		return errBroken
	}
	return nil
}

// spend sends calls of a tenant at an interval for some time.
func (u *usage) spend(t *trial, name string, up func(i int) *vm, interval, length time.Duration) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { u.runAsks(t, []string{name}, up, interval, stop) })
	time.Sleep(length)
	close(stop)
	wg.Wait()
}
