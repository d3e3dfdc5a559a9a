package host

import (
	"encoding/json"
	"net"
	"strconv"
	"testing"

	"embertally.dev/core/plat"
)

// Guards against a key of one box that takes out or moves another one.
func FuzzReadBox(f *testing.F) {
	for _, value := range []string{
		"", "null", `{"name":"a","role":"entry","address":"10.0.0.1:1","domain":"z","state":"live"}`, `{"name":"a","role":"target","address":"10.0.0.1:1","state":"live"}`, `{"name":"b","role":"entry","address":"10.0.0.1:1","state":"live"}`,
		`{"name":"a","role":"entry","address":"10.0.0.1:0","state":"leaving"}`, `{"name":"a","role":"entry","address":"[::1]:65536","state":"live"}`, `{"name":"a","role":"entry","address":":1","state":"gone"}`,
	} {
		f.Add("a", []byte(value))
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		box, err := readBox(plat.Pair{Key: keyBoxes + name, Value: value})
		if err != nil {
			return
		}
		host, portText, splitErr := net.SplitHostPort(box.Address)
		port, portErr := strconv.Atoi(portText)
		if box.Name != name || box.Role != plat.RoleEntry || (box.State != plat.BoxLive && box.State != plat.BoxLeaving) || splitErr != nil || portErr != nil || host == "" || port < 1 || port > 65535 {
			t.Fatalf("%q: %+v", value, box)
		}
		raw, err := json.Marshal(box)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := readBox(plat.Pair{Key: keyBoxes + name, Value: raw}); err != nil || again != box {
			t.Fatalf("%+v; encoded and read again: %+v, %v", box, again, err)
		}
	})
}
