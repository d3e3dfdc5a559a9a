package daemon

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"embertally.dev/core/clock"
	"embertally.dev/core/conf"
)

func TestConfigurationIsNotConfirmedByAHeartbeatThatWaitedWhileTheDaemonWasSuspended(t *testing.T) {
	g := gomega.NewWithT(t)
	settings, err := ParseSettings([]byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d, err := New(settings)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.config.Replace(conf.Full{Seq: 1, HeadRevision: 1})).To(gomega.BeTrue())
	now := clock.Now()
	d.resumedAt.Store(&now)
	heartbeat, err := msgpack.Marshal([]any{1, true, 0})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.replicator.Receive("entry-02", heartbeat)
	g.Expect(d.config.Confirmed().After(now)).To(gomega.BeTrue(), "the heartbeat was taken")
	g.Expect(d.confirmedSinceResume()).To(gomega.BeFalse())
	d.config.Verify(1, clock.Now())
	g.Expect(d.confirmedSinceResume()).To(gomega.BeTrue())
}
