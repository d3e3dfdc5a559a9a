package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"testing"

	"github.com/labstack/echo/v4"

	"embertally.dev/core/conf"
)

// Guards against changes by operators that are read in part, or otherwise than they were sent.
func FuzzReadResource(f *testing.F) {
	for _, text := range []string{
		"", "null", "{}", `{"kind":"organisations","name":"o","spec":{"keyHashes":[]}}`, `{"name":"o","resourceVersion":"7","spec":null}`, `{"name":"o","spec":{}}x`, `{"name":"o","more":1,"spec":{}}`,
		`{"name":"o","spec":{},"status":{"state":"accepted","notYetAt":["a"]}}`, `{"spec":"x"}{"spec":"y"}`, `{"resourceVersion":7,"spec":{}}`, `{"":7,"spec":{}}`,
	} {
		f.Add([]byte(text), "7")
	}
	f.Add([]byte{}, "18446744073709551616")
	f.Add([]byte{}, "-1")
	f.Fuzz(func(t *testing.T, raw []byte, version string) {
		read := func(raw []byte) (Resource, *conf.Rejection) {
			return readResource(echo.New().NewContext(httptest.NewRequest(http.MethodPut, "/", bytes.NewReader(raw)), httptest.NewRecorder()))
		}
		if v, rejection := parseVersion(version); (rejection == nil) != (v > 0) || (rejection == nil && version != strconv.FormatUint(v, 10) && version[0] != '0') {
			t.Fatalf("%q: %d, %v", version, v, rejection)
		}
		r, rejection := read(raw)
		if rejection != nil {
			// The name of a field may be empty.
			if len(rejection.Faults) == 0 || rejection.Faults[0].Text == "" {
				t.Fatalf("%q: %+v says nothing", raw, rejection)
			}
			return
		}
		if !json.Valid(raw) || len(r.Spec) == 0 || !json.Valid(r.Spec) || len(raw) > maxBodyBytes {
			t.Fatalf("%q as %+v", raw, r)
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		again, rejection := read(encoded)
		second, err := json.Marshal(again)
		if rejection != nil || err != nil || !reflect.DeepEqual(encoded, second) {
			t.Fatalf("%q as %q, then %q, %v", raw, encoded, second, rejection)
		}
	})
}
