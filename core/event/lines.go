package event

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ReadLines reads the events of log lines in JSON format, one list for each
// process. Text before a line's first brace is ignored, since log collectors put times
// and names there. foreign is the number of lines that are not events.
func ReadLines(r io.Reader) (lists [][]Event, foreign int, err error) {
	index := map[string]int{}
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scan.Scan() {
		ev, ok := ParseLine(scan.Bytes())
		if !ok {
			foreign++
			continue
		}
		i, seen := index[ev.Process]
		if !seen {
			i = len(lists)
			index[ev.Process] = i
			lists = append(lists, nil)
		}
		lists[i] = append(lists[i], ev)
	}
	return lists, foreign, errors.WithStack(scan.Err())
}

// ParseLine parses one log line in JSON format from its first brace on. It reports
// false if the line is not an event.
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
