package daemon

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"embertally.dev/core/event"
	"embertally.dev/core/route"
	"embertally.dev/emberd/internal/host"
	"embertally.dev/emberd/internal/settings"
)

// Settings is the content of a daemon's settings file. The yaml tags name its keys, and the doc
// tags are the descriptions in docs/SETTINGS.md.
type Settings struct {
	Name      string           `yaml:"name" doc:"Name of the box in the platform's box list. Required."`
	Domain    string           `yaml:"domain" doc:"Failure domain of the box. Required."`
	Callers   Listener         `yaml:"callers" doc:"Where callers are answered."`
	Operators Listener         `yaml:"operators" doc:"Where operators are answered."`
	Peers     PeerSettings     `yaml:"peers" doc:"How other daemons are reached."`
	Platform  PlatformSettings `yaml:"platform" doc:"The platform's services."`
	Log       LogSettings      `yaml:"log" doc:"Log lines on standard error."`
	Limits    LimitSettings    `yaml:"limits" doc:"Bounds of this daemon."`
	Placement string           `yaml:"placement" doc:"How workers are chosen: returning, or one of the ways it is measured against (roundRobin, leastTokens, stickyHash, always, first)."`
	// OperatorKeyHashes admits operators before the first one is configured.
	OperatorKeyHashes []string `yaml:"operatorKeyHashes" doc:"SHA-256 sums, in hexadecimal digits, of operators' keys that are valid beside the configured operators. For the first access."`
}

// Listener holds the address and the TLS files of one listener.
type Listener struct {
	Address string `yaml:"address" doc:"IP address and port to listen on. Required."`
	TLS     TLS    `yaml:"tls" doc:"Keys of the listener."`
}

// TLS holds the paths of the TLS files of one listener, which are loaded again when they change.
type TLS struct {
	Cert     string `yaml:"cert" doc:"File with the certificate chain in PEM form. Empty means no TLS, which insecure must allow."`
	Key      string `yaml:"key" doc:"File with the private key in PEM form."`
	CA       string `yaml:"ca" doc:"File with the certificates that peers must be signed by, in PEM form. Needed for peers only."`
	Insecure bool   `yaml:"insecure" doc:"Allow the listener to run without TLS."`
}

// PeerSettings configures the connections between daemons.
type PeerSettings struct {
	Address   string        `yaml:"address" doc:"IP address and port to listen on for peers, as the box list names it. Required."`
	TLS       TLS           `yaml:"tls" doc:"Keys towards peers. A peer's certificate must name its box."`
	Seeds     []Seed        `yaml:"seeds" doc:"Peers for the time when the box list cannot be read."`
	Heartbeat time.Duration `yaml:"heartbeat" doc:"Time between heartbeats."`
	Suspect   time.Duration `yaml:"suspect" doc:"Silence after which a peer counts as lost. At least three heartbeats."`
}

// Seed is a peer that is listed in the settings.
type Seed struct {
	Name    string `yaml:"name" doc:"Name of the peer's box."`
	Address string `yaml:"address" doc:"IP address and port of the peer."`
	Domain  string `yaml:"domain" doc:"Failure domain of the peer."`
}

// PlatformSettings holds the addresses of the platform's services.
type PlatformSettings struct {
	KeyValue        []string      `yaml:"keyValue" doc:"Base URLs of the key-value service. Required."`
	BoxList         string        `yaml:"boxList" doc:"URL of the box list. Empty means that only seeds are known."`
	BoxListInterval time.Duration `yaml:"boxPause" doc:"Time between readings of the box list."`
}

// LogSettings configures the log.
type LogSettings struct {
	Format string `yaml:"format" doc:"text or json."`
	Level  string `yaml:"level" doc:"Least severity: debug, info, warning or error."`
}

// LimitSettings holds the bounds of one daemon.
type LimitSettings struct {
	MaxBodyBytes     int64         `yaml:"maxBodyBytes" doc:"Largest body of a caller's request."`
	MaxRunning       int           `yaml:"maxRunning" doc:"Most running requests of one organisation, where it sets none itself."`
	MaxConnections   int           `yaml:"maxConnections" doc:"Most open connections of callers, and at most half of the process's descriptors. Beyond it, connections that have not sent a whole request are closed, those that have waited longest first."`
	HeadBytes        int64         `yaml:"headBytes" doc:"Memory for the heads of all requests that are being read or served, several times their length. Beyond it, heads that take more than 16 KB are refused."`
	DrainTimeout     time.Duration `yaml:"drainLimit" doc:"How long a planned stop waits for running requests."`
	ClaimWindow      time.Duration `yaml:"claimWindow" doc:"How long an idempotency key may be used after the time that it carries. The same on all daemons."`
	IsolationTimeout time.Duration `yaml:"isolatedStop" doc:"How long a daemon that hears nothing of peers, box list and key-value service still takes requests."`
	LoadInterval     time.Duration `yaml:"loadPause" doc:"Time between readings of a worker's load."`
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		Peers:    PeerSettings{Heartbeat: 500 * time.Millisecond, Suspect: 3 * time.Second},
		Platform: PlatformSettings{BoxListInterval: time.Second},
		Log:      LogSettings{Format: "text", Level: "info"},
		Limits: LimitSettings{
			MaxBodyBytes: 8 << 20, MaxRunning: 1024, MaxConnections: 2048, HeadBytes: 8 << 20, DrainTimeout: 10 * time.Minute,
			ClaimWindow: 10 * time.Minute, IsolationTimeout: 10 * time.Second, LoadInterval: 250 * time.Millisecond,
		},
		Placement: string(route.LowestCost),
	}
}

// ReadSettings reads and checks a settings file. The error lists all faults.
func ReadSettings(path string) (Settings, error) {
	return settings.Read(path, Defaults(), (*Settings).check)
}

// ParseSettings parses and checks settings. The error lists all faults.
func ParseSettings(raw []byte) (Settings, error) {
	return settings.Parse(raw, Defaults(), (*Settings).check)
}

// checker collects the faults of settings.
type checker struct{ settings.Checker }

// sha256Pattern matches a SHA-256 sum in hexadecimal digits.
var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// check returns the faults of the settings, each with the key of the field.
func (s *Settings) check() []string {
	var c checker
	c.Need(s.Name != "", "name", "is required")
	c.Need(s.Domain != "", "domain", "is required")
	c.Address("callers.address", s.Callers.Address)
	c.Address("operators.address", s.Operators.Address)
	c.Address("peers.address", s.Peers.Address)
	c.tls("callers.tls", s.Callers.TLS, false)
	c.tls("operators.tls", s.Operators.TLS, false)
	c.tls("peers.tls", s.Peers.TLS, true)
	for i, p := range s.Peers.Seeds {
		at := fmt.Sprintf("peers.seeds[%d]", i)
		c.Need(p.Name != "", at+".name", "is required")
		c.Address(at+".address", p.Address)
	}
	c.Positive("peers.heartbeat", s.Peers.Heartbeat)
	c.Need(s.Peers.Suspect >= 3*s.Peers.Heartbeat, "peers.suspect", "must be at least three heartbeats")
	c.Need(len(s.Platform.KeyValue) > 0, "platform.keyValue", "needs at least one URL")
	for i, u := range s.Platform.KeyValue {
		c.Need(strings.HasPrefix(u, "http"), fmt.Sprintf("platform.keyValue[%d]", i), "must be a URL")
	}
	c.Positive("platform.boxPause", s.Platform.BoxListInterval)
	c.Need(s.Log.Format == string(event.FormatText) || s.Log.Format == string(event.FormatJSON), "log.format", "must be text or json")
	c.Need(slices.Contains([]string{"debug", "info", "warning", "error"}, s.Log.Level), "log.level", "must be debug, info, warning or error")
	c.limits(s.Limits)
	c.Need(slices.Contains(route.Placements(), route.Placement(s.Placement)), "placement", "is not known")
	for i, h := range s.OperatorKeyHashes {
		c.Need(sha256Pattern.MatchString(h), fmt.Sprintf("operatorKeyHashes[%d]", i), "must be a SHA-256 sum in hexadecimal digits")
	}
	return c.Faults()
}

// limits checks the section limits.
func (c *checker) limits(l LimitSettings) {
	c.Need(l.MaxBodyBytes > 0, "limits.maxBodyBytes", "must be more than 0")
	c.Need(l.MaxRunning > 0, "limits.maxRunning", "must be more than 0")
	c.Need(l.MaxConnections > 0, "limits.maxConnections", "must be more than 0")
	c.Need(l.HeadBytes > 0, "limits.headBytes", "must be more than 0")
	c.Positive("limits.drainLimit", l.DrainTimeout)
	c.Positive("limits.claimWindow", l.ClaimWindow)
	c.Positive("limits.isolatedStop", l.IsolationTimeout)
	c.Positive("limits.loadPause", l.LoadInterval)
}

// tls checks the TLS settings of one listener. Without files, insecure must be set; a listener for
// peers needs a CA file.
func (c *checker) tls(field string, t TLS, peers bool) {
	if t.Cert == "" && t.Key == "" && t.CA == "" {
		c.Need(t.Insecure, field, "needs cert and key, or insecure: true")
		return
	}
	c.Need(t.Cert != "", field+".cert", "is required with key")
	c.Need(t.Key != "", field+".key", "is required with cert")
	c.Need(!peers || t.CA != "", field+".ca", "is required for peers")
	c.Need(!t.Insecure, field+".insecure", "must not be set together with keys")
}

// Reference returns the page docs/SETTINGS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of emberd\n\n")
	b.WriteString("One YAML file per daemon, checked at start and by `emberd check FILE`. Unknown keys are refused, and all faults are reported at once. ")
	b.WriteString("Times carry a unit, such as `500ms`. This page is written by `emberd reference`; a test keeps it true.\n\n")
	b.WriteString("| key | type | default | meaning |\n| --- | --- | --- | --- |\n")
	describeFields(&b, "", reflect.ValueOf(Defaults()))
	b.WriteString("\n## On a platform that keeps configuration and targets: emberd host\n\n")
	b.WriteString("Checked in the same way. On the users' machines `deploy/settings.yaml` is filled and laid out by the platform.\n\n")
	b.WriteString("| key | type | default | meaning |\n| --- | --- | --- | --- |\n")
	describeFields(&b, "", reflect.ValueOf(host.Defaults()))
	return b.String()
}

// describeFields writes a row of the table for each field of a struct, and for those of nested structs.
// prefix is put before the keys.
func describeFields(b *strings.Builder, prefix string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("yaml")
		doc := f.Tag.Get("doc")
		switch {
		case f.Type.Kind() == reflect.Struct:
			fmt.Fprintf(b, "| `%s` | section | | %s |\n", key, doc)
			describeFields(b, key+".", v.Field(i))
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			fmt.Fprintf(b, "| `%s` | list | | %s |\n", key, doc)
			describeFields(b, key+"[].", reflect.New(f.Type.Elem()).Elem())
		default:
			fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", key, typeName(f.Type), defaultText(v.Field(i)), doc)
		}
	}
}

// typeName returns the name of a type on the page.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return "time"
	}
	if t.Kind() == reflect.Slice {
		return "list of " + typeName(t.Elem())
	}
	return t.Kind().String()
}

// defaultText returns a default value as code, or "" for a zero value.
func defaultText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
