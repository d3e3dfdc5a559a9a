package ctl

import (
	"bytes"
	"fmt"
	"html"
	"slices"

	"embertally.dev/core/event"
)

// Measures of the picture, in pixels.
const (
	laneWidth = 260
	rowHeight = 18
	clockWide = 130
	headHigh  = 30
	dotRadius = 4
)

// drawTimeline draws one lane per process and one row per event.
func drawTimeline(list []event.Event) []byte {
	var lanes []string
	for _, ev := range list {
		if !slices.Contains(lanes, ev.Process) {
			lanes = append(lanes, ev.Process)
		}
	}
	slices.Sort(lanes)
	var b bytes.Buffer
	width, height := clockWide+laneWidth*len(lanes), headHigh+rowHeight*(len(list)+1)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	for i, name := range lanes {
		x := clockWide + i*laneWidth + dotRadius
		fmt.Fprintf(&b, `<text x="%d" y="16" font-weight="bold">%s</text>`+"\n", x, html.EscapeString(name))
		fmt.Fprintf(&b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", x, headHigh-6, x, height)
	}
	for row, ev := range list {
		x, y := clockWide+slices.Index(lanes, ev.Process)*laneWidth+dotRadius, headHigh+rowHeight*row+rowHeight/2
		fmt.Fprintf(&b, `<text x="4" y="%d" fill="#666">%s</text>`, y+4, ev.At.Format(clockForm))
		fmt.Fprintf(&b, `<circle cx="%d" cy="%d" r="%d" fill="%s"><title>%s</title></circle>`, x, y, dotRadius, levelColor(ev.Level), html.EscapeString(about(ev)+" "+ev.Text))
		fmt.Fprintf(&b, `<text x="%d" y="%d">%s %s</text>`+"\n", x+2*dotRadius, y+4, html.EscapeString(ev.Name), html.EscapeString(ev.Target))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

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
