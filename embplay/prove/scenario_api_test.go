package prove

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sendOperatorRequest sends a request to the operator API of the first daemon.
func (r *testbed) sendOperatorRequest(ctx context.Context, key, method, path, body string) *http.Response {
	GinkgoHelper()
	req, err := http.NewRequestWithContext(ctx, method, r.daemons[0].Operators+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.caller.HTTP().Do(req)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

// writeRefusal is the error response of the resource API.
type writeRefusal struct {
	Error struct {
		Code   string `json:"code"`
		Faults []struct {
			Field string `json:"field"`
		} `json:"faults"`
	} `json:"error"`
}

var _ = Describe("The resource API", func() {
	It("refuses invalid requests with the name of the field, and changes nothing", func() {
		r := startSite(nil)
		key := r.site.File.OperatorKey
		sequence := func() string {
			var list struct {
				ResourceVersion string `json:"resourceVersion"`
			}
			_, err := r.callOperatorAPI(r.daemons[0], http.MethodGet, "/v1/resources/policies", nil, &list)
			Expect(err).NotTo(HaveOccurred())
			return list.ResourceVersion
		}
		before := sequence()
		policy := `{"organisation":"org-01","deployments":["reader"]}`
		tests := []struct {
			name, key, method, path, body string
			status                        int
			code, field                   string
		}{
			{"no operator", "nobody", "GET", "/v1/status", "", 401, "badKey", ""},
			{"a caller's key", r.site.File.CallerKeys[orgOne], "GET", "/v1/status", "", 401, "badKey", ""},
			{"unknown kind", key, "GET", "/v1/resources/boxes", "", 404, "unknownKind", ""},
			{"unknown resource", key, "GET", "/v1/resources/policies/none", "", 404, "notFound", ""},
			{"unknown field of the body", key, "PUT", "/v1/resources/policies/org-01?force=true", `{"spec":` + policy + `,"color":1}`, 422, "invalid", "color"},
			{"no spec", key, "PUT", "/v1/resources/policies/org-01?force=true", `{}`, 422, "invalid", "spec"},
			{"no version", key, "PUT", "/v1/resources/policies/org-01", `{"spec":` + policy + `}`, 422, "invalid", "resourceVersion"},
			{"stale version", key, "PUT", "/v1/resources/policies/org-01", `{"resourceVersion":"1","spec":` + policy + `}`, 409, "staleVersion", "resourceVersion"},
			{"exists", key, "POST", "/v1/resources/policies", `{"name":"org-01","spec":` + policy + `}`, 409, "exists", "resourceVersion"},
			{"name differs", key, "PUT", "/v1/resources/policies/org-01?force=true", `{"name":"org-02","spec":` + policy + `}`, 422, "invalid", "name"},
			{"wrong unit", key, "PUT", "/v1/resources/policies/org-01?force=true", `{"spec":{"organisation":"org-01","deployments":["reader"],"deadline":"5 parsecs"}}`, 422, "invalid", "spec.deadline"},
			{"bad reference", key, "PUT", "/v1/resources/policies/org-01?force=true", `{"spec":{"organisation":"none","deployments":["reader"]}}`, 422, "badReference", "spec.organisation"},
			{"in use", key, "DELETE", "/v1/resources/organisations/org-01?force=true", "", 409, "inUse", ""},
			{"too large", key, "PUT", "/v1/resources/policies/org-01?force=true", strings.Repeat("x", 300<<10), 422, "invalid", "body"},
			{"watch without a version", key, "GET", "/v1/resources/policies?watch=true", "", 422, "invalid", "from"},
			{"drain of an unknown target", key, "POST", "/v1/drains/none", `{"leaving":true}`, 404, "notFound", ""},
			{"drain without its field", key, "POST", "/v1/drains/engine-01", `{"leave":true}`, 422, "invalid", "leaving"},
		}
		for _, tc := range tests {
			resp := r.sendOperatorRequest(context.Background(), tc.key, tc.method, tc.path, tc.body)
			var got writeRefusal
			raw, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Unmarshal(raw, &got)).To(Succeed(), tc.name)
			Expect(resp.StatusCode).To(Equal(tc.status), tc.name+": "+string(raw))
			Expect(got.Error.Code).To(Equal(tc.code), tc.name)
			if tc.field != "" {
				Expect(got.Error.Faults).NotTo(BeEmpty(), tc.name)
				Expect(got.Error.Faults[0].Field).To(Equal(tc.field), tc.name)
			}
		}
		Expect(sequence()).To(Equal(before))
	})

	It("watches from a version on, and reports writes through any daemon", func() {
		r := startSite(nil)
		var list struct {
			ResourceVersion string `json:"resourceVersion"`
		}
		_, err := r.callOperatorAPI(r.daemons[0], http.MethodGet, "/v1/resources/policies", nil, &list)
		Expect(err).NotTo(HaveOccurred())
		spec := json.RawMessage(`{"organisation":"org-01","deployments":["reader"],"services":["payments"]}`)
		for i := range 3 {
			body := struct {
				Spec json.RawMessage `json:"spec"`
			}{spec}
			_, err := r.callOperatorAPI(r.daemons[i], http.MethodPut, "/v1/resources/policies/org-01?force=true", body, nil)
			Expect(err).NotTo(HaveOccurred())
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		resp := r.sendOperatorRequest(ctx, r.site.File.OperatorKey, http.MethodGet, "/v1/resources/policies?watch=true&from="+list.ResourceVersion, "")
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		var from, last int
		_, err = fmt.Sscan(list.ResourceVersion, &from)
		Expect(err).NotTo(HaveOccurred())
		for n := range 3 {
			Expect(lines.Scan()).To(BeTrue())
			var ev struct {
				Type     string   `json:"type"`
				Resource resource `json:"resource"`
			}
			Expect(json.Unmarshal(lines.Bytes(), &ev)).To(Succeed())
			Expect(ev.Type).To(Equal("put"))
			_, err = fmt.Sscan(ev.Resource.ResourceVersion, &last)
			Expect(err).NotTo(HaveOccurred())
			Expect(last).To(Equal(from+n+1), "every change, in order")
		}
	})
})
