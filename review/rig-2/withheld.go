package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case, of the smallest machines of the deployment sff-bkk-grown.
const (
	withheldMemoryMB = 184
	withheldFiles    = 4100
	withheldContact  = 4 * time.Second // ContactMs
	withheldClients  = 1700            // connections to each daemon
	withheldAfter    = 4 * time.Second
	withheldTime     = 22 * time.Second
	withheldWave     = 1500 * time.Millisecond // for how long a client whose connection was reset connects again
	withheldOrdinary = 10                      // clients of each daemon that open a new connection for each request
	withheldInterval = 100 * time.Millisecond
)

// try is one new connection of an ordinary client.
type try struct {
	at    time.Duration
	taken bool
}

// runWithheld: many clients begin a prompt with a body in chunks and leave its end out.
func runWithheld(r *recorder, trouble bool) int {
	maxFiles = withheldFiles
	s := newSite(2, 4, 2, withheldMemoryMB, nil)
	defer s.store.close()
	start := time.Now()
	end := start.Add(withheldTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	tries, notReady := make([][]try, len(s.daemons)), make([]atomic.Int64, len(s.daemons))
	for i, d := range s.daemons {
		for range withheldOrdinary {
			wg.Go(func() {
				for time.Now().Before(end) {
					at, taken, text := newConnection(d)
					mu.Lock()
					tries[i] = append(tries[i], try{at.Sub(start), taken})
					mu.Unlock()
					r.line("ordinary client of %s: %s", d.name, text)
					time.Sleep(withheldInterval)
				}
			})
		}
		wg.Go(func() {
			for ; time.Now().Before(end); time.Sleep(time.Second) {
				ready := d.ready()
				r.line("%s answers that it is ready: %v", d.name, ready)
				if !ready {
					notReady[i].Add(1)
				}
			}
		})
	}
	time.Sleep(withheldAfter)
	r.say("%d clients connect to each daemon and send a prompt", withheldClients)
	var answers [2]atomic.Int64
	for _, d := range s.daemons {
		for range withheldClients {
			wg.Go(func() {
				if withhold(d, trouble, end) {
					answers[0].Add(1)
				} else {
					answers[1].Add(1)
				}
			})
		}
	}
	wg.Wait()
	r.say("of these clients %d got an answer, %d got none", answers[0].Load(), answers[1].Load())
	broken := false
	for i, d := range s.daemons {
		longest, from, n := longestRefusal(tries[i])
		r.say("%s: not ready %d times; took no new connection for %s from %s on, while %d were tried", d.name, notReady[i].Load(), longest.Round(time.Millisecond), from.Round(time.Millisecond), n)
		broken = broken || (longest >= withheldContact && notReady[i].Load() == 0)
	}
	if broken {
		r.say("BROKEN: a machine that says it is ready takes no new connection for ContactMs")
		return exitBroken
	}
	r.say("held")
	return exitHeld
}

// longestRefusal returns the longest time without a new connection that was taken, when it began, and how many
// connections were tried in it.
func longestRefusal(tries []try) (longest, from time.Duration, n int) {
	last, count := time.Duration(0), 0
	for _, t := range tries {
		count++
		if t.taken {
			last, count = t.at, 0
			continue
		}
		if t.at-last > longest {
			longest, from, n = t.at-last, last, count
		}
	}
	return longest, from, n
}

// newConnection opens a connection, sends an ordinary call, and reports whether the daemon took the connection: it
// answers, or leaves the connection open for a second.
func newConnection(d *daemon) (at time.Time, taken bool, text string) {
	at = time.Now()
	id := newID()
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return at, false, id + ": no connection: " + err.Error()
	}
	defer conn.Close()
	check(conn.SetDeadline(at.Add(time.Second)))
	_, err = fmt.Fprintf(conn, "GET %s2f HTTP/1.1\r\nHost: %s\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Deadline-Ms: 1000\r\nAuthorization: Bearer key-2\r\nConnection: close\r\n\r\n", pathLook, host, id)
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			resp.Body.Close()
			return at, true, fmt.Sprintf("%s: status %d after %s", id, resp.StatusCode, time.Since(at).Round(time.Millisecond))
		}
	}
	timeout, ok := err.(net.Error)
	return at, ok && timeout.Timeout(), fmt.Sprintf("%s: no answer after %s: %v", id, time.Since(at).Round(time.Millisecond), err)
}

// withhold sends a prompt whose body comes in chunks. With trouble its end is left out, and the bytes of the only chunk are
// line ends. If the connection is reset in the first moments, the client connects again. It reports whether there was an
// answer.
func withhold(d *daemon, trouble bool, end time.Time) bool {
	for again := time.Now().Add(withheldWave); ; time.Sleep(10 * time.Millisecond) {
		if withholdOnce(d, trouble, end) {
			return true
		}
		if time.Now().After(again) {
			return false
		}
	}
}

// withholdOnce is withhold on one connection.
func withholdOnce(d *daemon, trouble bool, end time.Time) bool {
	conn, err := net.DialTimeout("tcp", d.callers, 2*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	check(conn.SetDeadline(end))
	text := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nEmbertally-Attempt-Id: %s\r\nEmbertally-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n"+
		"Embertally-Model: %s\r\nEmbertally-Token-Usage: 20,2\r\nEmbertally-Prompt-Prefix: %s:20\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n",
		pathReview, host, newID(), modelName, newID())
	if !trouble {
		text += "0\r\n\r\n"
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}
