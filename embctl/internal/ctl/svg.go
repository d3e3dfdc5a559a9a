package ctl

import (
	"bytes"
	"fmt"
	"html"
	"slices"

	"embertally.dev/core/event"
)

// Sizes in the picture, in pixels.
const (
	laneWidth    = 260
	rowHeight    = 18
	clockWidth   = 130
	headerHeight = 30
	dotRadius    = 4
)

// drawTimeline draws one lane per process and one row per event.
func drawTimeline(events []event.Event) []byte {
	var lanes []string
	for _, ev := range events {
		if !slices.Contains(lanes, ev.Process) {
			lanes = append(lanes, ev.Process)
		}
	}
	slices.Sort(lanes)
	var b bytes.Buffer
	width, height := clockWidth+laneWidth*len(lanes), headerHeight+rowHeight*(len(events)+1)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	for i, name := range lanes {
		x := clockWidth + i*laneWidth + dotRadius
		fmt.Fprintf(&b, `<text x="%d" y="16" font-weight="bold">%s</text>`+"\n", x, html.EscapeString(name))
		fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", x, headerHeight-6, x, height)
	}
	for row, ev := range events {
		x, y := clockWidth+slices.Index(lanes, ev.Process)*laneWidth+dotRadius, headerHeight+rowHeight*row+rowHeight/2
		fmt.Fprintf(&b, `<text x="4" y="%d" fill="#666">%s</text>`, y+4, ev.At.Format(clockLayout))
		fmt.Fprintf(&b, `<circle cx="%d" cy="%d" r="%d" fill="%s"><title>%s</title></circle>`, x, y, dotRadius, levelColor(ev.Level), html.EscapeString(formatRef(ev)+" "+ev.Text))
		fmt.Fprintf(&b, `<text x="%d" y="%d">%s %s</text>`+"\n", x+2*dotRadius, y+4, html.EscapeString(ev.Name), html.EscapeString(ev.Target))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// levelColor returns the colour of an event's dot.
func levelColor(l event.Level) string {
	switch l {
	case event.Error:
		return "#c0392b"
	case event.Warning:
		return "#e67e22"
	case event.Info:
		return "#2980b9"
	}
	return "#95a5a6"
}
