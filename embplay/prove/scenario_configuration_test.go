package prove

import (
	"encoding/json"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
)

var _ = Describe("Promise 9: a converged configuration is applied everywhere and never reverts", func() {
	sequence := func(r *testbed, p *daemonProcess) func() uint64 {
		return func() uint64 {
			var st struct {
				Sequence uint64 `json:"sequence"`
				NotReady string `json:"notReady"`
			}
			if _, err := r.callOperatorAPI(p, http.MethodGet, "/v1/status", nil, &st); err != nil || st.NotReady != "" {
				return 0
			}
			return st.Sequence
		}
	}
	rewrite := func(r *testbed, box int) (status int, version uint64) {
		GinkgoHelper()
		var got, done resource
		path := "/v1/resources/policies/" + orgOne
		_, err := r.callOperatorAPI(r.daemons[box], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		body := struct {
			ResourceVersion string          `json:"resourceVersion"`
			Spec            json.RawMessage `json:"spec"`
		}{got.ResourceVersion, got.Spec}
		status, err = r.callOperatorAPI(r.daemons[box], http.MethodPut, path, body, &done)
		if err != nil {
			return status, 0
		}
		_, err = fmt.Sscan(done.ResourceVersion, &version)
		Expect(err).NotTo(HaveOccurred())
		return status, version
	}

	It("through lost responses, a stalled watch and compaction", func() {
		r := startSite(nil)
		for _, inject := range []func(){
			func() { r.site.KeyValue.Set(fake.LoseResponses, 1) },
			func() { r.site.KeyValue.Set(fake.StallWatch, 1) },
			func() { r.site.KeyValue.Compact() },
			func() { r.site.KeyValue.Set(fake.StallWatch, 0) },
		} {
			inject()
			status, version := rewrite(r, 1)
			Expect(status).To(Equal(http.StatusOK))
			for _, p := range r.daemons {
				Expect(sequence(r, p)()).To(BeNumerically(">=", version), p.Name)
			}
		}
	})

	It("is fetched from peers by a daemon that starts while the coordination store is down", func() {
		r := startSite(nil)
		_, version := rewrite(r, 0)
		r.site.KeyValue.Set(fake.Down, 1)
		r.daemons[3].kill()
		Expect(r.daemons[3].start()).To(Succeed())
		Eventually(sequence(r, r.daemons[3])).Should(BeNumerically(">=", version))
		prompt := "are you there?"
		Eventually(func() string { return r.sendPrompt(3, orgOne, prompt, 4).Text }).Should(Equal(fake.ExpectedResponse(fake.SiteModel, "v1", prompt, 4)))
	})

	It("is pending while a live daemon is cut off, names that daemon, and converges after it reconnects", func() {
		r := startSite(nil)
		lost := r.daemons[2]
		lost.storeProxy.set(cutOff)
		for _, p := range r.daemons {
			if p != lost {
				lost.peerProxies[p.Name].set(cutOff)
				p.peerProxies[lost.Name].set(cutOff)
			}
		}
		path := "/v1/resources/policies/" + orgOne
		status, version := rewrite(r, 0)
		Expect(status).To(Equal(http.StatusAccepted))
		var got struct {
			Status struct {
				State    string   `json:"state"`
				NotYetAt []string `json:"notYetAt"`
			} `json:"status"`
		}
		_, err := r.callOperatorAPI(r.daemons[0], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Status.State).To(Equal("pending"))
		Expect(got.Status.NotYetAt).To(Equal([]string{lost.Name}))
		lost.storeProxy.set(forward)
		for _, p := range r.daemons {
			if p != lost {
				lost.peerProxies[p.Name].set(forward)
				p.peerProxies[lost.Name].set(forward)
			}
		}
		Eventually(sequence(r, lost)).Should(BeNumerically(">=", version))
		Eventually(func() string {
			_, err := r.callOperatorAPI(r.daemons[0], http.MethodGet, path, nil, &got)
			if err != nil {
				return err.Error()
			}
			return got.Status.State
		}).Should(Equal("accepted"))
	})

	It("is applied by a daemon that was suspended before it serves again", func() {
		r := startSite(nil)
		suspended := r.daemons[1]
		suspended.suspend()
		status, version := rewrite(r, 0)
		Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusAccepted)))
		Eventually(func() bool { return r.reportsAlive(0, suspended.Name) }).Should(BeFalse())
		suspended.resume()
		Eventually(sequence(r, suspended)).Should(BeNumerically(">=", version))
	})
})

// reportsAlive reports whether a daemon lists another as alive. It returns true if the
// daemon cannot be asked.
func (r *testbed) reportsAlive(box int, name string) bool {
	var st struct {
		Daemons []struct {
			Name  string `json:"name"`
			Alive bool   `json:"alive"`
		} `json:"daemons"`
	}
	if _, err := r.callOperatorAPI(r.daemons[box], http.MethodGet, "/v1/status", nil, &st); err != nil {
		return true
	}
	for _, d := range st.Daemons {
		if d.Name == name {
			return d.Alive
		}
	}
	return false
}
