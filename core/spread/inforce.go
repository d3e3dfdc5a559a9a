package spread

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/event"
	"embertally.dev/core/fleet"
	"embertally.dev/core/plat"
	"embertally.dev/core/wire"
)

const kindInForce wire.Kind = "spread.inforce"

const (
	// inForcePeers is how many peers are asked.
	inForcePeers = 5
	// inForceLimit bounds the wait for the first piece of their answers.
	inForceLimit = 500 * time.Millisecond
	// inForceRest bounds the time for the other pieces of one answer.
	inForceRest = 5 * time.Second
	// leavingMost bounds the runs that one answer names.
	leavingMost = 1024
)

// InForce holds what operators have written, by keys of the key-value service. After the service came
// back from an older copy, daemons that know only the copy get from peers what it lacks, and which targets
// leave.
type InForce struct {
	mirror  *plat.Mirror
	fleet   *fleet.Fleet
	parcels *parcels
	log     *event.Log
	// Leaving, if set, returns the runs of targets that lately said that they leave, and Leaves hears of
	// those that a peer names. Both are set before the fleet runs.
	Leaving func() []string
	Leaves  func(run string)

	inForceMu sync.Mutex
	values    map[string]inForceValue // guarded by inForceMu
	// settled tells that this daemon has asked peers itself, or had no need to. Guarded by inForceMu.
	settled bool
}

// inForceValue is one value.
type inForceValue struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
	Value    []byte
	Revision int64
	Version  int64
}

// newerThan reports whether a value is newer than what some versions, by key, tell of, or not among them.
func (v inForceValue) newerThan(versions map[string]int64) bool {
	known, ok := versions[v.Key]
	return !ok || known < v.Version
}

// inForceAsk asks for the values that the service does not hold in an era, and that are newer than the
// asker's or that it lacks.
type inForceAsk struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Versions map[string]int64
	// Era is that of the asker's copy of the service.
	Era int64
}

// inForceAnswer holds them in packed form; Packed is empty where there are none.
type inForceAnswer struct {
	//lint:ignore U1000 read by the codec: frames are arrays
	_msgpack struct{} `msgpack:",as_array"`
	Packed   parcel
	// Leaving are the runs of targets that lately said that they leave.
	Leaving []string
}

// errUnsettled says that a peer knows no more than its own copy.
var errUnsettled = errors.New("this daemon has not asked its peers yet")

// NewInForce attaches values in force to the fleet of m.
func NewInForce(m *Mirrors) *InForce {
	n := &InForce{mirror: m.mirror, fleet: m.fleet, parcels: m.values.parcels, log: m.log, values: map[string]inForceValue{}}
	n.fleet.Mux().Register(kindInForce, wire.Handle(n.answer))
	return n
}

// Set holds a value, unless a newer version of it is held. The version is 0 for values that have none.
func (n *InForce) Set(p plat.Pair, version int64) {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	if held, ok := n.values[p.Key]; !ok || held.Version <= version {
		n.values[p.Key] = inForceValue{Key: p.Key, Value: p.Value, Revision: p.ModRevision, Version: version}
	}
}

// Drop holds a value no longer.
func (n *InForce) Drop(key string) {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	delete(n.values, key)
}

// Settle makes this daemon answer peers.
func (n *InForce) Settle() {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	n.settled = true
}

// Settled reports whether this daemon answers peers.
func (n *InForce) Settled() bool {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	return n.settled
}

// versions returns the versions of the values that are held.
func (n *InForce) versions() map[string]int64 {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	out := make(map[string]int64, len(n.values))
	for key, v := range n.values {
		out[key] = v.Version
	}
	return out
}

// answer tells a peer what is newer here.
func (n *InForce) answer(_ context.Context, _ string, ask *inForceAsk) (*inForceAnswer, error) {
	newer, id, err := n.newerThan(ask)
	if err != nil {
		return nil, err
	}
	out := &inForceAnswer{}
	if n.Leaving != nil {
		out.Leaving = firstOf(n.Leaving(), leavingMost)
	}
	if len(newer) == 0 {
		return out, nil
	}
	out.Packed, err = n.parcels.prepare(id, func() ([]byte, error) { return packMessage(newer) })
	return out, err
}

// newerThan returns the values that a peer asks for, ordered by key, and a name for them together.
func (n *InForce) newerThan(ask *inForceAsk) (newer []inForceValue, id string, err error) {
	n.inForceMu.Lock()
	defer n.inForceMu.Unlock()
	if !n.settled {
		return nil, "", errors.WithStack(errUnsettled)
	}
	id = "inforce"
	for _, key := range slices.Sorted(maps.Keys(n.values)) {
		v := n.values[key]
		if v.newerThan(ask.Versions) && !n.holds(v, ask.Era) {
			newer = append(newer, v)
			id += "/" + key + "=" + strconv.FormatInt(v.Version, 10) + "." + strconv.FormatInt(v.Revision, 10)
		}
	}
	return newer, id, nil
}

// holds reports whether the service holds a value in an era or a later one, as far as is known.
func (n *InForce) holds(v inForceValue, era int64) bool {
	p, there := n.mirror.Pair(v.Key)
	return there && n.mirror.Era() >= era && bytes.Equal(p.Value, v.Value)
}

// Ask asks some peers for newer values, and calls take, once at a time, with those that are newer than
// what is held then. Peers that live come first. It returns how many answered.
func (n *InForce) Ask(ctx context.Context, take func(plat.Pair)) int {
	peers := n.peers()
	answers := make(chan bool, len(peers))
	var taking sync.Mutex
	for _, peer := range peers {
		go inForceAsker{n, peer, &taking, take, answers}.run(ctx)
	}
	answered := 0
	for range peers {
		if <-answers {
			answered++
		}
	}
	return answered
}

// peers returns the peers to ask.
func (n *InForce) peers() []string {
	var living, others []string
	all := n.fleet.View().Peers()
	for _, i := range rand.Perm(len(all)) {
		if all[i].Alive {
			living = append(living, all[i].Name)
		} else {
			others = append(others, all[i].Name)
		}
	}
	return firstOf(append(living, others...), inForcePeers)
}

// inForceAsker asks one peer.
type inForceAsker struct {
	*InForce
	peer string
	// taking is held while take is called.
	taking *sync.Mutex
	take   func(plat.Pair)
	// done receives whether the peer answered.
	done chan<- bool
}

func (a inForceAsker) run(ctx context.Context) {
	values, err := a.ask(ctx)
	if err != nil {
		a.log.Emit(event.PeerNotTold, event.Ref{}, a.peer+", values in force: "+err.Error())
	}
	a.taking.Lock()
	held := a.versions()
	for _, v := range values {
		if v.newerThan(held) {
			a.log.Emit(event.ValueInForce, event.Ref{Resource: v.Key}, "version "+strconv.FormatInt(v.Version, 10)+" from "+a.peer)
			a.take(plat.Pair{Key: v.Key, Value: v.Value, ModRevision: v.Revision})
		}
	}
	a.taking.Unlock()
	a.done <- err == nil
}

// ask gets the peer's newer values, and takes the runs that leave.
func (a inForceAsker) ask(ctx context.Context) ([]inForceValue, error) {
	first, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	question := &inForceAsk{Versions: a.versions(), Era: a.mirror.Era()}
	var got inForceAnswer
	if err := a.fleet.Call(first, a.peer, kindInForce, question, &got); err != nil {
		return nil, err
	}
	if a.Leaves != nil {
		for _, run := range firstOf(got.Leaving, leavingMost) {
			a.Leaves(run)
		}
	}
	if got.Packed.Size == 0 {
		return nil, nil
	}
	ctx, stop := context.WithTimeout(ctx, inForceRest)
	defer stop()
	packed, err := a.parcels.rest(ctx, a.peer, &got.Packed, mostValue)
	if err != nil {
		return nil, err
	}
	raw, err := unpack(packed, nil)
	if err != nil {
		return nil, err
	}
	var values []inForceValue
	return values, errors.WithStack(msgpack.Unmarshal(raw, &values))
}
