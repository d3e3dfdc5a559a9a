package target

import (
	"fmt"
	"hash/maphash"
	"slices"

	"github.com/pkg/errors"
)

// A response is matched with its request by the request's ID. If a connection carries one ID twice, what a target sent
// about the first request cannot be told from what it sends about the second.

// maxCarried is how many requests a connection carries at the most: it remembers the IDs of all of them.
const maxCarried = 1024

// carriedSeed makes hashes of IDs that callers cannot foresee.
var carriedSeed = maphash.MakeSeed()

// carriedIDs remembers the IDs of the requests that one connection has carried. The zero value is empty.
type carriedIDs struct {
	// hashes holds one hash for each ID, at most maxCarried. Two IDs with one hash count as the same ID.
	hashes []uint64
}

// noID is the hash of an empty ID, which names no request. No ID has it.
const noID = 0

// hashID returns the hash of an ID.
func hashID(id string) uint64 {
	if id == "" {
		return noID
	}
	return max(maphash.String(carriedSeed, id), noID+1)
}

// has reports whether the connection has carried an ID with a hash.
func (c *carriedIDs) has(hash uint64) bool { return hash != noID && slices.Contains(c.hashes, hash) }

// add remembers an ID with a hash.
func (c *carriedIDs) add(hash uint64) {
	if hash != noID {
		c.hashes = append(c.hashes, hash)
	}
}

// full reports whether the connection may carry no more requests.
func (c *carriedIDs) full() bool { return len(c.hashes) >= maxCarried }

// Carriage tells which connection carried a request. The zero value means that the request was not sent.
type Carriage struct {
	address string
	// connection tells the connection from the others of the pool, and requests is the number of requests that it has carried,
	// with this one.
	connection uint64
	requests   int
	repeated   bool
}

// Address returns the address of the target.
func (c Carriage) Address() string { return c.address }

// Repeated reports whether the connection had carried a request with the same ID before.
func (c Carriage) Repeated() bool { return c.repeated }

// String describes the connection for log lines.
func (c Carriage) String() string {
	out := fmt.Sprintf("connection %d to %s, request %d on it", c.connection, c.address, c.requests)
	if c.repeated {
		out += ", which had carried its ID before"
	}
	return out
}

// carry records that a request is about to be written to the connection.
func (c *poolConn) carry(req *Request) Carriage {
	id := hashID(req.ID)
	out := Carriage{address: c.address, connection: c.number, requests: len(c.carried.hashes) + 1, repeated: c.carried.has(id)}
	if out.repeated && c.pool.Repeated != nil {
		c.pool.Repeated.Inc()
	}
	c.carried.add(id)
	return out
}

// CarriageOf returns which connection carried a request without a response, by the error of Send.
func CarriageOf(err error) (carriage Carriage, sent bool) {
	var s *SendError
	if !errors.As(err, &s) || !s.MayHaveArrived {
		return Carriage{}, false
	}
	return s.carriage, true
}
