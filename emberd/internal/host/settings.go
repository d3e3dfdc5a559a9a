package host

import (
	"fmt"
	"slices"
	"time"

	"embertally.dev/core/learn"
	"embertally.dev/core/relay"
	"embertally.dev/core/route"
	"embertally.dev/emberd/internal/settings"
)

// Settings are everything that a hosted daemon is told by its file.
type Settings struct {
	Name   string `yaml:"name" doc:"Name of the box. Required."`
	Domain string `yaml:"domain" doc:"Failure domain of the box. Required."`
	// Regions holds the region of each failure domain.
	Regions   map[string]string `yaml:"regions" doc:"Region of each failure domain. Where routes or organisations are bound to regions, a domain that is not named is in none."`
	Callers   string            `yaml:"callers" doc:"IP address and port where callers are answered. Required."`
	Readiness string            `yaml:"readiness" doc:"IP address and port of the readiness question, GET /v1/readyz. Required."`
	Peers     string            `yaml:"peers" doc:"IP address and port where other daemons are answered. Required."`
	Metrics   string            `yaml:"metrics" doc:"IP address and port of the figures, GET /metrics. Required."`
	Store     string            `yaml:"store" doc:"IP address and port of the platform's store. Required."`
	MemoryMB  int64             `yaml:"memoryMB" doc:"Memory that the process may use. Required."`
	Placement string            `yaml:"placement" doc:"How model workers are chosen: returning, or roundRobin, leastTokens or stickyHash to measure against; these copy nothing from stores."`
	LogLevel  string            `yaml:"logLevel" doc:"Least severity of log lines: debug, info, warning or error."`
	LogRate   int               `yaml:"logRate" doc:"Most lines of one event in a second; warnings and errors get five times as many."`
	Bounds    Bounds            `yaml:"bounds" doc:"What the deployment promises and asks for."`
	Retries   Retries           `yaml:"retries" doc:"How often requests may be sent again, over all daemons together."`
	Tuning    Tuning            `yaml:"tuning" doc:"How often daemons talk."`
	Prices    Prices            `yaml:"prices" doc:"What answers are worth and what serving them costs, in answers to a plain call. They are the operators' to choose."`
	Expect    Expect            `yaml:"expect" doc:"What is expected of targets before they were observed."`
	Without   relay.Disabled    `yaml:"without" doc:"Mechanisms that are switched off, to measure what each is worth."`
}

// Prices are what the decisions of a hosted daemon maximize.
type Prices struct {
	Token   float64 `yaml:"token" doc:"What a thousand tokens of a prompt add to the worth of its answer."`
	Late    float64 `yaml:"late" doc:"Part of its worth that an answer after its aim keeps."`
	Again   float64 `yaml:"again" doc:"Price of reading a thousand tokens again that a worker has read lately."`
	Copied  float64 `yaml:"copied" doc:"Price of copying a thousand tokens of kept context."`
	Old     float64 `yaml:"old" doc:"Part of its worth that an answer on replaced weights loses."`
	Connect float64 `yaml:"connect" doc:"Price of a new connection to a target."`
	Across  float64 `yaml:"across" doc:"Price of a megabyte between failure domains."`
	Wait    float64 `yaml:"wait" doc:"Part of its worth that an answer loses with each aim's time before it, also within the aim."`
}

// prices returns them as decisions need them.
func (p *Prices) prices() route.CostModel {
	return route.CostModel{
		UtilityPerToken: p.Token / thousand, PastObjectiveShare: p.Late, RecomputePerToken: p.Again / thousand, CopyPerToken: p.Copied / thousand,
		OldWeightsPenalty: p.Old, NewConnectionCost: p.Connect, CrossDomainPerMiB: p.Across, DelayPenalty: p.Wait,
	}
}

// thousand is the number of tokens that prices of tokens are for.
const thousand = 1000

// Expect is what is expected of targets.
type Expect struct {
	Engines Prior `yaml:"engines" doc:"Of model workers: the time to the first event."`
	Calls   Prior `yaml:"calls" doc:"Of plain targets: the time to the answer."`
}

// Prior is what is expected of one kind of target.
type Prior struct {
	Fixed   time.Duration `yaml:"fixed" doc:"Time of an idle target beside the reading of the prompt."`
	Own     time.Duration `yaml:"own" doc:"Time to read a thousand tokens of the prompt."`
	Before  time.Duration `yaml:"before" doc:"The same for prompts that are read before it."`
	Beside  time.Duration `yaml:"beside" doc:"What is added at a target that runs all the requests it can."`
	Waiting time.Duration `yaml:"waiting" doc:"What is added for each time as many requests wait."`
	Crowd   time.Duration `yaml:"crowd" doc:"Wait for memory where there is none."`
	Spread  float64       `yaml:"spread" doc:"Standard deviation of the logarithm of observed over expected times."`
	Weight  float64       `yaml:"weight" doc:"How many observations this counts for."`
}

// prior returns it as estimates need it.
func (p *Prior) prior() learn.Prior {
	return learn.Prior{
		Fixed: p.Fixed, PerThousandOwn: p.Own, PerThousandQueued: p.Before, Utilisation: p.Beside, QueuedPerSlot: p.Waiting, MemoryPressure: p.Crowd,
		LogStdDev: p.Spread, Observations: p.Weight,
	}
}

// Bounds are the times of a deployment.
type Bounds struct {
	Stop       time.Duration `yaml:"stop" doc:"How long a planned stop may take."`
	OrderApart time.Duration `yaml:"orderApart" doc:"Least time between orders of two holders of the right to give them."`
	Weights    time.Duration `yaml:"weights" doc:"How long after newer weights were named a request may begin on the older ones."`
	Contact    time.Duration `yaml:"contact" doc:"Silence of the store after which the configuration may be old."`
	// Configuration counts from the store's acknowledgement of the newer one.
	Configuration time.Duration `yaml:"configuration" doc:"How long a request may be handled by a configuration that was replaced."`
	ColdOver      float64       `yaml:"coldOver" doc:"How many times what a service says that its cold targets bear in a second they may get from all daemons together."`
	ColdExtra     float64       `yaml:"coldExtra" doc:"How many requests a second they may get beside."`
	ExposeShare   float64       `yaml:"exposeShare" doc:"Part of a service's requests that a version may get before its roll-out is decided."`
}

// Retries bound repeated sends.
type Retries struct {
	Share  float64       `yaml:"share" doc:"Repeated sends for each request."`
	Extra  float64       `yaml:"extra" doc:"Repeated sends beside, in a window."`
	Window time.Duration `yaml:"window" doc:"Length of the window."`
}

// Tuning sets how often daemons talk.
type Tuning struct {
	Heartbeat time.Duration `yaml:"heartbeat" doc:"Time between heartbeats."`
	Suspect   time.Duration `yaml:"suspect" doc:"Silence after which a peer counts as lost. At least three heartbeats."`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Placement: string(route.LowestCost), LogLevel: "info", LogRate: 40,
		Bounds:  Bounds{Stop: 8 * time.Second, OrderApart: 3 * time.Second, Weights: 12 * time.Second, Contact: 3 * time.Second, Configuration: 2 * time.Second, ColdOver: 1, ExposeShare: 0.1},
		Retries: Retries{Share: 0.2, Window: 10 * time.Second},
		Tuning:  Tuning{Heartbeat: 150 * time.Millisecond, Suspect: 1500 * time.Millisecond},
		Prices:  Prices{Token: 0.4, Late: 0.25, Again: 0.8, Copied: 0.012, Old: 0.2, Connect: 0.03, Across: 4, Wait: 0.1},
		Expect: Expect{
			Engines: Prior{
				Fixed: 60 * time.Millisecond, Own: 18 * time.Millisecond, Before: 15 * time.Millisecond, Beside: 50 * time.Millisecond,
				Waiting: time.Second, Crowd: 300 * time.Millisecond, Spread: 0.5, Weight: 5,
			},
			Calls: Prior{Fixed: 40 * time.Millisecond, Beside: 10 * time.Millisecond, Waiting: 40 * time.Millisecond, Spread: 0.5, Weight: 5},
		},
	}
}

// ReadSettings reads and checks a file. The error names all faults at once.
func ReadSettings(path string) (Settings, error) {
	return settings.Read(path, Defaults(), (*Settings).check)
}

// ParseSettings reads and checks settings. The error names all faults at once.
func ParseSettings(raw []byte) (Settings, error) {
	return settings.Parse(raw, Defaults(), (*Settings).check)
}

func (s *Settings) check() []string {
	var c settings.Checker
	c.Need(s.Name != "", "name", "is required")
	c.Need(s.Domain != "", "domain", "is required")
	for _, a := range []struct{ field, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"store", s.Store},
	} {
		c.Address(a.field, a.value)
	}
	c.Need(s.MemoryMB >= leastMemoryMB, "memoryMB", fmt.Sprintf("must be at least %d", leastMemoryMB))
	c.Need(slices.Contains(hostPlacements, route.Placement(s.Placement)), "placement", "must be returning, roundRobin, leastTokens or stickyHash")
	c.Need(s.LogRate > 0, "logRate", "must be more than 0")
	c.Need(slices.Contains([]string{"debug", "info", "warning", "error"}, s.LogLevel), "logLevel", "must be debug, info, warning or error")
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.stop", s.Bounds.Stop},
		{"bounds.orderApart", s.Bounds.OrderApart},
		{"bounds.contact", s.Bounds.Contact},
		{"bounds.weights", s.Bounds.Weights},
		{"bounds.configuration", s.Bounds.Configuration},
		{"retries.window", s.Retries.Window},
		{"tuning.heartbeat", s.Tuning.Heartbeat},
	} {
		c.Positive(d.field, d.value)
	}
	c.Need(s.Bounds.ColdOver >= 0 && s.Bounds.ColdExtra >= 0, "bounds", "coldOver and coldExtra must not be negative")
	c.Need(s.Bounds.ExposeShare > 0 && s.Bounds.ExposeShare <= 1, "bounds.exposeShare", "must be more than 0 and at most 1")
	c.Need(s.Retries.Share >= 0 && s.Retries.Extra >= 0, "retries", "must not be negative")
	c.Need(s.Tuning.Suspect >= 3*s.Tuning.Heartbeat, "tuning.suspect", "must be at least three heartbeats")
	return c.Faults()
}

// hostPlacements are the placements that a hosted daemon knows.
var hostPlacements = []route.Placement{route.LowestCost, route.RoundRobin, route.LeastTokens, route.StickyHash}

// leastMemoryMB is what a daemon with libraries and buffers needs at start.
const leastMemoryMB = 24
