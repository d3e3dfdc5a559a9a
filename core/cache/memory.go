package cache

import (
	"container/list"
	"time"
)

// memory is what one worker is believed to hold, the latest use first. The zero
// value is empty.
type memory struct {
	order list.List // of *held
	parts map[PartName]*list.Element
	// tokens is the sum over order.
	tokens int
	// clock counts the tokens of all uses, so that the difference since a part's
	// last use says how much was used after it.
	clock int
	// versions is the newest version of each model's weights that a request ran
	// on; what older ones made is gone.
	versions map[string]int64
	last     time.Time
}

// held is one entry of a memory. Rests of requests, which nobody asks for again,
// have a salt but no ID.
type held struct {
	name   PartName
	tokens int
	// used is what the memory's clock said after the last use.
	used int
}

// put records the use of a part and reports whether it was not held.
func (m *memory) put(name PartName, tokens int) bool {
	if e := m.parts[name]; e != nil {
		h := e.Value.(*held)
		m.clock += h.tokens
		h.used = m.clock
		m.order.MoveToFront(e)
		return false
	}
	if tokens <= 0 {
		return false
	}
	m.clock += tokens
	e := m.order.PushFront(&held{name, tokens, m.clock})
	m.tokens += tokens
	if name.ID == "" {
		return false
	}
	if m.parts == nil {
		m.parts = map[PartName]*list.Element{}
	}
	m.parts[name] = e
	return true
}

// depth returns how much was used since the begin of the last use of a part, as a
// part of the room: from 1 on the part is likely pushed out.
func (m *memory) depth(name PartName, room int) float64 {
	e := m.parts[name]
	if e == nil || room <= 0 {
		return 0
	}
	h := e.Value.(*held)
	return float64(m.clock-h.used+h.tokens) / float64(room)
}

// fit drops what was unused for longest until the rest fits into room, and
// returns the parts dropped. A room of 0 is not known and drops nothing.
func (m *memory) fit(room int) []PartName {
	var out []PartName
	for room > 0 && m.tokens > room && m.order.Len() > 0 {
		out = m.remove(m.order.Back(), out)
	}
	return out
}

// renew drops the parts of older weights where a request runs on newer ones, and
// returns them.
func (m *memory) renew(salt string) []PartName {
	model, version, ok := SaltVersion(salt)
	if !ok || m.versions[model] >= version {
		return nil
	}
	if m.versions == nil {
		m.versions = map[string]int64{}
	}
	m.versions[model] = version
	var out []PartName
	for e := m.order.Front(); e != nil; {
		next := e.Next()
		if other, v, ok := SaltVersion(e.Value.(*held).name.Salt); ok && other == model && v < version {
			out = m.remove(e, out)
		}
		e = next
	}
	return out
}

// clear drops everything and returns the parts.
func (m *memory) clear() []PartName {
	var out []PartName
	for m.order.Len() > 0 {
		out = m.remove(m.order.Back(), out)
	}
	return out
}

// remove drops an entry and appends the name of its part, if it has one.
func (m *memory) remove(e *list.Element, names []PartName) []PartName {
	h := m.order.Remove(e).(*held)
	m.tokens -= h.tokens
	if h.name.ID == "" {
		return names
	}
	delete(m.parts, h.name)
	return append(names, h.name)
}
