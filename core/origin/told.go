package origin

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/fleet"
	"embertally.dev/core/wait"
	"embertally.dev/core/wire"
)

// toldRecord is a record on its way to other daemons.
type toldRecord struct {
	key    key
	stream Stream
	at     clock.Time
	// collected is set once a heartbeat carries the record, and told once that was sent to all peers.
	collected, told bool
}

// Bounds on telling records.
const (
	// fullWindow is how long full heartbeats repeat a record, so that a lost heartbeat is made up for.
	fullWindow = 5 * time.Second
	// maxHeld bounds the records that are kept to be told if a second version appears; the oldest are dropped first.
	maxHeld = 4096
	// batchDelay is the delay of records for other cells, so that those of about the same time go together.
	batchDelay = 5 * time.Millisecond
	// recordTimeout bounds the sending of records to another cell.
	recordTimeout = 500 * time.Millisecond
)

// hold keeps a record that need not be told now. It is called with bookMu held.
func (b *Book) hold(r toldRecord) {
	if len(b.held) >= maxHeld {
		b.held = b.held[1:]
	}
	b.held = append(b.held, r)
}

// tell has a record told to the daemons that hold it. It is called with bookMu held.
func (b *Book) tell(r toldRecord) {
	if view := b.o.Fleet.View(); view.KeyCell(r.key.hash()) != view.Cell() {
		b.outbox = append(b.outbox, r)
		select {
		case b.wake <- struct{}{}:
		default:
		}
		return
	}
	b.recent = append(b.recent, r)
	b.addUnsaved(r)
	b.o.Fleet.TriggerHeartbeat()
}

// release has the held records told whose services may have several versions by now, and drops old ones. It is called
// with bookMu held.
func (b *Book) release(now clock.Time) {
	for len(b.held) > 0 && now.Sub(b.held[0].at) > recordTTL {
		b.held = b.held[1:]
	}
	proofs := map[string]Proof{}
	kept := b.held[:0]
	for _, r := range b.held {
		proof, known := proofs[r.stream.Service]
		if !known {
			_, proof = b.o.Versions(r.stream.Service)
			proofs[r.stream.Service] = proof
		}
		if proof == Sole {
			kept = append(kept, r)
			continue
		}
		b.tell(r)
	}
	b.held = kept
}

// toldGroup holds the keys of records with the same stream, each as two numbers in big-endian order. They are followed by the
// stream's configuration as one number, which daemons that do not know of it leave out as no whole key.
type toldGroup struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Stream   Stream
	Keys     []byte
}

// keyBytes is the length of a key in toldGroup, and configBytes that of a configuration.
const (
	keyBytes    = 16
	configBytes = 8
)

// bytes returns the key as in toldGroup.
func (k key) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(make([]byte, 0, keyBytes), k.Organisation), k.Attempt)
}

// group returns records in the form in which they are sent.
func group(list []toldRecord) []toldGroup {
	var out []toldGroup
	index := map[Stream]int{}
	for _, r := range list {
		i, found := index[r.stream]
		if !found {
			i = len(out)
			index[r.stream] = i
			out = append(out, toldGroup{Stream: r.stream})
		}
		out[i].Keys = append(out[i].Keys, r.key.bytes()...)
	}
	for i := range out {
		if config := out[i].Stream.Config; config > 0 {
			out[i].Keys = binary.BigEndian.AppendUint64(out[i].Keys, uint64(config))
		}
	}
	return out
}

// ungroup returns the records of a group. Bytes that are no whole key are left out.
func (g *toldGroup) ungroup(now clock.Time) []toldRecord {
	var out []toldRecord
	stream := g.Stream
	if rest := g.Keys[len(g.Keys)-len(g.Keys)%keyBytes:]; len(rest) == configBytes {
		stream.Config = int64(binary.BigEndian.Uint64(rest))
	}
	for b := g.Keys; len(b) >= keyBytes; b = b[keyBytes:] {
		k := key{Organisation: binary.BigEndian.Uint64(b), Attempt: binary.BigEndian.Uint64(b[keyBytes/2:])}
		out = append(out, toldRecord{key: k, stream: stream, at: now})
	}
	return out
}

// Collect returns the records that the peers of the cell have not been told, or all recent ones.
func (b *Book) Collect(full bool) any {
	now := clock.Now()
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	if len(b.held) > 0 {
		b.release(now)
	}
	var list []toldRecord
	for i := range b.recent {
		if r := &b.recent[i]; !r.told || full {
			r.collected = true
			list = append(list, *r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return group(list)
}

// Told records that the collected records were sent.
func (b *Book) Told() {
	now := clock.Now()
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	kept := b.recent[:0]
	for _, r := range b.recent {
		r.told = r.told || r.collected
		if !r.told || now.Sub(r.at) <= fullWindow {
			kept = append(kept, r)
		}
	}
	b.recent = kept
}

// Receive takes the records of a peer's heartbeat.
func (b *Book) Receive(_ string, body []byte) {
	var groups []toldGroup
	if err := msgpack.Unmarshal(body, &groups); err != nil {
		// The next heartbeat of the peer makes up for it.
		return
	}
	b.addAll(groups)
}

// addAll adds the records of other daemons and returns them. Those that are new or were made again are also written to the
// store.
func (b *Book) addAll(groups []toldGroup) []toldRecord {
	now := clock.Now()
	b.bookMu.Lock()
	defer b.bookMu.Unlock()
	var out []toldRecord
	for i := range groups {
		list := groups[i].ungroup(now)
		var added []toldRecord
		for _, r := range list {
			if b.add(r) {
				added = append(added, r)
			}
		}
		b.addUnsaved(added...)
		out = append(out, list...)
	}
	return out
}

// kindRecord is the kind of the message by which a daemon of another cell tells its records.
const kindRecord wire.Kind = "origin.record"

// recordMessage holds the records that a daemon tells to one of another cell.
type recordMessage struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Groups   []toldGroup
}

// handleRecords takes the records of a daemon of another cell, and has them told in this one.
func (b *Book) handleRecords(_ context.Context, _ string, msg *recordMessage) (struct{}, error) {
	list := b.addAll(msg.Groups)
	b.bookMu.Lock()
	b.recent = append(b.recent, list...)
	b.bookMu.Unlock()
	b.o.Fleet.TriggerHeartbeat()
	return struct{}{}, nil
}

// Run sends records to other cells and to the coordination store until ctx ends.
func (b *Book) Run(ctx context.Context) {
	if b.archive != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { b.archive.run(ctx) })
		wg.Go(func() { b.archive.runClean(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		if !wait.For(ctx, batchDelay) {
			return
		}
		b.flush(ctx)
	}
}

// flush sends the records of outbox.
func (b *Book) flush(ctx context.Context) {
	b.bookMu.Lock()
	list := b.outbox
	b.outbox = nil
	b.bookMu.Unlock()
	view := b.o.Fleet.View()
	byCell := map[int][]toldRecord{}
	for _, r := range list {
		cell := view.KeyCell(r.key.hash())
		byCell[cell] = append(byCell[cell], r)
	}
	for cell, records := range byCell {
		go recordSender{b.o.Fleet, cell, &recordMessage{Groups: group(records)}}.run(ctx)
	}
}

// recordSender sends records to one daemon of another cell.
type recordSender struct {
	fleet *fleet.Fleet
	cell  int
	msg   *recordMessage
}

// run sends the records to the first daemon of the cell that takes them.
func (s recordSender) run(ctx context.Context) {
	view := s.fleet.View()
	for _, peer := range view.Owners(s.cell, fleet.Key("origin/"+view.Self()), maxAsked/2) {
		peerCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := s.fleet.Query(peerCtx, peer, kindRecord, s.msg, &struct{}{})
		cancel()
		if err == nil {
			return
		}
	}
}
