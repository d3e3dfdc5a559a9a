package event

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// lineMost bounds one log line.
const lineMost = 1 << 20

// ReadLines reads the events of log lines in JSON form, one list for each
// process. What stands before a line's first brace is passed over, as
// collectors of logs put times and names there; lines of other programs are
// counted and left out.
func ReadLines(r io.Reader) (lists [][]Event, foreign int, err error) {
	at := map[string]int{}
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), lineMost)
	for scan.Scan() {
		ev, ok := ParseLine(scan.Bytes())
		if !ok {
			foreign++
			continue
		}
		n, known := at[ev.Process]
		if !known {
			n = len(lists)
			at[ev.Process] = n
			lists = append(lists, nil)
		}
		lists[n] = append(lists[n], ev)
	}
	return lists, foreign, errors.WithStack(scan.Err())
}

// ParseLine reads one log line in JSON form, from its first brace on; it reports false where that is no event.
func ParseLine(line []byte) (Event, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Event{}, false
	}
	var l struct {
		Code         Code      `json:"code"`
		Event        string    `json:"event"`
		Level        Level     `json:"level"`
		Msg          string    `json:"msg"`
		Process      string    `json:"process"`
		Request      string    `json:"request"`
		Context      string    `json:"context"`
		Organisation string    `json:"organisation"`
		Target       string    `json:"target"`
		Resource     string    `json:"resource"`
		Time         time.Time `json:"time"`
		Forecast     *Forecast `json:"forecast"`
	}
	if json.Unmarshal(line[start:], &l) != nil || l.Code == 0 {
		return Event{}, false
	}
	return Event{
		At: l.Time, Process: l.Process, Code: l.Code, Name: l.Event, Level: l.Level, Text: l.Msg, Request: l.Request,
		Context: l.Context, Organisation: l.Organisation, Target: l.Target, Resource: l.Resource, Forecast: l.Forecast,
	}, true
}
