package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: the application service of the deployment omst-cl (4 workers, 6 slots each), with the work of
// those of forta-abonamente (60 ms).
const (
	blockedRate     = 200
	blockedWork     = 60 * time.Millisecond
	blockedFirst    = 4 * time.Second // the first crash
	blockedGap      = 3500 * time.Millisecond
	blockedCrashes  = 4
	blockedDown     = time.Second // until a worker is replaced, and until killed daemons start again
	blockedFinal    = 20 * time.Second
	blockedRecover  = 12 * time.Second // RecoverS
	blockedMeasured = 8 * time.Second
)

// runBlocked: the workers of the application service answer without a length, as they may. They crash one after the
// other while clients read the same address again and again. Then all daemons are killed at once and start again.
func runBlocked(r *recorder, trouble bool) int {
	s := newSite(2, 0, 3, 284, nil)
	defer s.store.close()
	started := 0
	newApp := func() *worker {
		w := newWorker(s.store, "127.0.0.2", fmt.Sprintf("i-app-%02d", started), callService, zones[started%len(zones)])
		started++
		w.mu.Lock()
		w.unframed, w.work = true, blockedWork
		w.mu.Unlock()
		return w
	}
	var apps []*worker
	for range 4 {
		apps = append(apps, newApp())
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	back := start.Add(blockedFinal + blockedDown)
	measured := back.Add(blockedRecover)
	var before, between, after tally
	var wg sync.WaitGroup
	calls := newClient()
	wg.Go(func() {
		every(blockedRate, measured.Add(blockedMeasured), func(i int) {
			at := time.Now()
			a := calls.send(s.daemons[i%len(s.daemons)], "GET", pathLook+"flags", "key-2", 1500*time.Millisecond, "")
			r.line("%s", a.text())
			switch {
			case at.Before(start.Add(blockedFinal)):
				before.add(a)
			case at.Before(measured):
				between.add(a)
			default:
				after.add(a)
			}
		})
	})
	if trouble {
		for i := range blockedCrashes {
			time.Sleep(time.Until(start.Add(blockedFirst + time.Duration(i)*blockedGap)))
			r.say("worker %s crashes", apps[i].id)
			apps[i].crash()
			time.Sleep(blockedDown)
			apps = append(apps, newApp())
		}
		time.Sleep(time.Until(start.Add(blockedFinal)))
		r.say("all daemons are killed")
		for _, d := range s.daemons {
			d.signal(syscall.SIGKILL)
			<-d.exited
		}
		time.Sleep(time.Until(back))
		for _, d := range s.daemons {
			d.restart()
		}
		r.say("all daemons are started again")
	}
	wg.Wait()
	r.say("before the final fault: %v", &before)
	r.say("until %s after the machines were back: %v", blockedRecover, &between)
	r.say("later: %v", &after)
	if 4*before.served.Load() >= before.sent.Load() && 4*after.served.Load() < after.sent.Load() {
		r.say("BROKEN: a quarter or more was served before the final fault, and less than a quarter of what was sent more than RecoverS after the machines were back")
		return exitBroken
	}
	r.say("held")
	return exitHeld
}
