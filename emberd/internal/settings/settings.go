// Package settings parses the settings files of both kinds of daemon and
// collects their faults, so that all are reported at once.
//
// It must not know individual settings.
package settings

import (
	"bytes"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Read reads and checks a settings file. Keys that it lacks have their value in defaults. The
// error lists all faults.
func Read[T any](path string, defaults T, check func(*T) []string) (T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, errors.WithStack(err)
	}
	return Parse(raw, defaults, check)
}

// Parse parses and checks settings in YAML. Missing keys have their value in defaults, and unknown
// keys are faults. check returns further faults. The error lists all faults.
func Parse[T any](raw []byte, defaults T, check func(*T) []string) (T, error) {
	s := defaults
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	var faults []string
	if err := dec.Decode(&s); err != nil {
		var typeErr *yaml.TypeError
		if !errors.As(err, &typeErr) {
			return s, errors.Wrap(err, "settings")
		}
		faults = append(faults, typeErr.Errors...)
	}
	faults = append(faults, check(&s)...)
	if len(faults) > 0 {
		return s, errors.Errorf("settings have %d faults:\n  %s", len(faults), strings.Join(faults, "\n  "))
	}
	return s, nil
}

// Checker collects faults. The zero value is ready for use.
type Checker struct{ faults []string }

// Faults returns the faults, in the order of the checks.
func (c *Checker) Faults() []string { return c.faults }

// Need records a fault of a field unless ok.
func (c *Checker) Need(ok bool, field, fault string) {
	if !ok {
		c.faults = append(c.faults, field+": "+fault)
	}
}

// Address checks that a field is an IP address and a port.
func (c *Checker) Address(field, v string) {
	host, _, err := net.SplitHostPort(v)
	c.Need(err == nil && net.ParseIP(host) != nil, field, "must be an IP address and a port")
}

// Positive checks that a duration is more than 0.
func (c *Checker) Positive(field string, d time.Duration) {
	c.Need(d > 0, field, "must be more than 0, with a unit such as 500ms")
}
