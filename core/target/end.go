package target

import (
	"golang.org/x/sys/unix"
)

// connStateNames are the kernel's states of a connection by number, as in its header tcp_states.h.
var connStateNames = [...]string{
	"unknown", "ESTABLISHED", "SYN_SENT", "SYN_RECV", "FIN_WAIT1", "FIN_WAIT2", "TIME_WAIT", "CLOSE", "CLOSE_WAIT", "LAST_ACK", "LISTEN", "CLOSING",
}

// connState returns the name of the state in the kernel's information on a connection, which may be nil.
func connState(info *unix.TCPInfo) string {
	if info == nil || int(info.State) >= len(connStateNames) {
		return connStateNames[0]
	}
	return connStateNames[info.State]
}

// DescribeEnd describes for a log line how a response ended whose body ends with its connection: how far the request had
// been written, and in which state the kernel has the connection.
func (resp *Response) DescribeEnd() string {
	text := "request still being written"
	select {
	case <-resp.written.done:
		text = "request written"
		if resp.written.err != nil {
			text = "request not written: " + resp.written.err.Error()
		}
	default:
	}
	if resp.conn == nil {
		return text
	}
	return text + ", connection in state " + connState(resp.conn.info())
}
