package prove

import (
	"encoding/json"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"embertally.dev/embfake/fake"
)

var _ = Describe("Promise 9: an accepted configuration is in force everywhere and never reverts", func() {
	sequence := func(r *rig, p *proc) func() uint64 {
		return func() uint64 {
			var st struct {
				Sequence uint64 `json:"sequence"`
				NotReady string `json:"notReady"`
			}
			if _, err := r.operate(p, http.MethodGet, "/v1/status", nil, &st); err != nil || st.NotReady != "" {
				return 0
			}
			return st.Sequence
		}
	}
	rewrite := func(r *rig, box int) (status int, version uint64) {
		GinkgoHelper()
		var got, done resource
		path := "/v1/resources/policies/" + orgOne
		_, err := r.operate(r.procs[box], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		body := struct {
			ResourceVersion string          `json:"resourceVersion"`
			Spec            json.RawMessage `json:"spec"`
		}{got.ResourceVersion, got.Spec}
		status, err = r.operate(r.procs[box], http.MethodPut, path, body, &done)
		if err != nil {
			return status, 0
		}
		_, err = fmt.Sscan(done.ResourceVersion, &version)
		Expect(err).NotTo(HaveOccurred())
		return status, version
	}

	It("through lost answers, a stalled watch and compaction", func() {
		r := site(nil)
		for _, harm := range []func(){
			func() { r.site.KeyValue.Set(fake.LoseResponses, 1) },
			func() { r.site.KeyValue.Set(fake.StallWatch, 1) },
			func() { r.site.KeyValue.Compact() },
			func() { r.site.KeyValue.Set(fake.StallWatch, 0) },
		} {
			harm()
			status, version := rewrite(r, 1)
			Expect(status).To(Equal(http.StatusOK))
			for _, p := range r.procs {
				Expect(sequence(r, p)()).To(BeNumerically(">=", version), p.Name)
			}
		}
	})

	It("is taken from peers by a daemon that starts while the service is down", func() {
		r := site(nil)
		_, version := rewrite(r, 0)
		r.site.KeyValue.Set(fake.Down, 1)
		r.procs[3].kill()
		Expect(r.procs[3].start()).To(Succeed())
		Eventually(sequence(r, r.procs[3])).Should(BeNumerically(">=", version))
		prompt := "are you there?"
		Eventually(func() string { return r.ask(3, orgOne, prompt, 4).Text }).Should(Equal(fake.ExpectedResponse(fake.SiteModel, "v1", prompt, 4)))
	})

	It("is pending, by name, while a live daemon is cut off, and accepted once it is back", func() {
		r := site(nil)
		lost := r.procs[2]
		lost.kv.set(cut)
		for _, p := range r.procs {
			if p != lost {
				lost.peers[p.Name].set(cut)
				p.peers[lost.Name].set(cut)
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
		_, err := r.operate(r.procs[0], http.MethodGet, path, nil, &got)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Status.State).To(Equal("pending"))
		Expect(got.Status.NotYetAt).To(Equal([]string{lost.Name}))
		lost.kv.set(pass)
		for _, p := range r.procs {
			if p != lost {
				lost.peers[p.Name].set(pass)
				p.peers[lost.Name].set(pass)
			}
		}
		Eventually(sequence(r, lost)).Should(BeNumerically(">=", version))
		Eventually(func() string {
			_, err := r.operate(r.procs[0], http.MethodGet, path, nil, &got)
			if err != nil {
				return err.Error()
			}
			return got.Status.State
		}).Should(Equal("accepted"))
	})

	It("is not served under by a daemon that slept until it knows again", func() {
		r := site(nil)
		sleeper := r.procs[1]
		sleeper.freeze()
		status, version := rewrite(r, 0)
		Expect(status).To(Or(Equal(http.StatusOK), Equal(http.StatusAccepted)))
		Eventually(func() bool { return r.alive(0, sleeper.Name) }).Should(BeFalse())
		sleeper.wake()
		Eventually(sequence(r, sleeper)).Should(BeNumerically(">=", version))
	})
})

// alive reports whether a daemon hears another.
func (r *rig) alive(box int, name string) bool {
	var st struct {
		Daemons []struct {
			Name  string `json:"name"`
			Alive bool   `json:"alive"`
		} `json:"daemons"`
	}
	if _, err := r.operate(r.procs[box], http.MethodGet, "/v1/status", nil, &st); err != nil {
		return true
	}
	for _, d := range st.Daemons {
		if d.Name == name {
			return d.Alive
		}
	}
	return false
}
