package entry

import (
	"bufio"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

func TestServicePathRefusesAmbiguousPaths(t *testing.T) {
	tests := []struct {
		url, want string
		ok        bool
	}{
		{"/services/pay", "/", true},
		{"/services/pay/", "/", true},
		{"/services/pay/renewals/7?x=1", "/renewals/7", true},
		{"/services/pay/a%20b", "/a%20b", true},
		{"/services/pay/status/../renewals", "", false},
		{"/services/pay/status/%2e%2e/renewals", "", false},
		{"/services/pay/status%2frenewals", "", false},
		{"/services/pay//renewals", "", false},
		{"/services/pay/a%5cb", "", false},
		{"/services/pay/..", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.url, func(t *testing.T) {
			g := gomega.NewWithT(t)
			u, err := url.Parse(tc.url)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			got, r := servicePath(u, "pay")
			g.Expect(r == nil).To(gomega.Equal(tc.ok))
			if tc.ok {
				g.Expect(got).To(gomega.Equal(tc.want))
			} else {
				g.Expect(r.Ran).To(gomega.Equal(NotRun))
			}
		})
	}
}

func TestReadEvent(t *testing.T) {
	long := strings.Repeat("x", 10000)
	tests := []struct {
		name, in, id, data string
		ok                 bool
	}{
		{"plain", "id: 3\ndata: {}\n\n", "3", "{}", true},
		{"no space", "data:x\n\n", "", "x", true},
		{"two lines", "data: a\ndata: b\n\n", "", "a\nb", true},
		{"carriage returns", "data: a\r\n\r\n", "", "a", true},
		{"comments and empty lines", ": hi\n\n\ndata: a\n\n", "", "a", true},
		{"longer than the buffer", "data: " + long + "\n\n", "", long, true},
		{"truncated", "data: a\n", "", "", false},
		{"empty", "", "", "", false},
		{"too long", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", "", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ev, err := readEvent(bufio.NewReaderSize(strings.NewReader(tc.in), 4<<10))
			g.Expect(err == nil).To(gomega.Equal(tc.ok))
			if tc.ok {
				g.Expect(ev.id).To(gomega.Equal(tc.id))
				g.Expect(string(ev.data)).To(gomega.Equal(tc.data))
			}
		})
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: {}\n\ndata: [DONE]\n\n")
	f.Add("data:\n\n")
	f.Add("id:\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := bufio.NewReaderSize(strings.NewReader(in), 64)
		for range len(in) + 1 {
			ev, err := readEvent(r)
			if err != nil {
				return
			}
			if ev.data == nil || len(ev.data) > maxEventBytes {
				t.Fatalf("event with %d bytes", len(ev.data))
			}
		}
		t.Fatal("more events than bytes")
	})
}

func TestRefusalsOfKeyedRequestsSayUnknown(t *testing.T) {
	tests := []struct {
		key  string
		code Code
		want RunState
	}{
		{"", CodeNotReady, NotRun},
		{"", CodeQueueFull, NotRun},
		{"018f0000-0000-7000-8000-000000000000", CodeNotReady, Unknown},
		{"018f0000-0000-7000-8000-000000000000", CodeQueueFull, Unknown},
		{"018f0000-0000-7000-8000-000000000000", CodeBadKey, NotRun},
	}
	for _, tc := range tests {
		req := httpRequest(t)
		if tc.key != "" {
			req.Header.Set(HeaderIdempotencyKey, tc.key)
		}
		got := refuse(503, tc.code, NotRun, "").forKey(req)
		gomega.NewWithT(t).Expect(got.Ran).To(gomega.Equal(tc.want))
	}
}

func httpRequest(t *testing.T) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://box/services/pay/renewals", nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

func TestStopAcceptsTextOrList(t *testing.T) {
	tests := []struct {
		in   string
		want stopSequences
		err  error
	}{
		{`"a"`, stopSequences{"a"}, nil},
		{`["a","b"]`, stopSequences{"a", "b"}, nil},
		{`7`, nil, errors.New("stop must be")},
	}
	for _, tc := range tests {
		g := gomega.NewWithT(t)
		var s stopSequences
		err := s.UnmarshalJSON([]byte(tc.in))
		if tc.err != nil {
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(tc.err.Error())))
			continue
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s).To(gomega.Equal(tc.want))
	}
}
