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

// Settings is the content of a hosted daemon's settings file. The yaml tags name its keys, and the
// doc tags are the descriptions in docs/SETTINGS.md.
type Settings struct {
	Name   string `yaml:"name" doc:"Name of the box. Required."`
	Domain string `yaml:"domain" doc:"Failure domain of the box. Required."`
	// Regions maps failure domains to regions.
	Regions   map[string]string `yaml:"regions" doc:"Region of each failure domain. Where routes or organisations are bound to regions, a domain that is not named is in none."`
	Callers   string            `yaml:"callers" doc:"IP address and port where callers are answered. Required."`
	Readiness string            `yaml:"readiness" doc:"IP address and port of the readiness question, GET /v1/readyz. Required."`
	Peers     string            `yaml:"peers" doc:"IP address and port where other daemons are answered. Required."`
	Metrics   string            `yaml:"metrics" doc:"IP address and port of the figures, GET /metrics. Required."`
	Store     string            `yaml:"store" doc:"IP address and port of the platform's store. Required."`
	MemoryMB  int64             `yaml:"memoryMB" doc:"Memory that the process may use. Required."`
	// MaxConnections is bounded by half of the descriptors, so that targets, the store and other daemons can be reached.
	MaxConnections int `yaml:"maxConnections" doc:"Most open connections of callers, and at most half of the process's descriptors; 0: as many as a fifth of memoryMB bears, and at most 2048. Beyond it, connections that have not sent a whole request are closed, those that have waited longest first."`
	// FirstStart is false again when the daemon starts the next time.
	FirstStart bool           `yaml:"firstStart" doc:"Whether the whole system starts for the first time, so that no stream was begun before."`
	Placement  string         `yaml:"placement" doc:"How model workers are chosen: returning, or roundRobin, leastTokens or stickyHash to measure against; these copy nothing from stores."`
	LogLevel   string         `yaml:"logLevel" doc:"Least severity of log lines: debug, info, warning or error."`
	LogRate    int            `yaml:"logRate" doc:"Most lines of one event in a second; warnings and errors get five times as many."`
	Bounds     Bounds         `yaml:"bounds" doc:"What the deployment promises and asks for."`
	Retries    Retries        `yaml:"retries" doc:"How often requests may be sent again, over all daemons together."`
	Tuning     Tuning         `yaml:"tuning" doc:"How often daemons talk."`
	Costs      Costs          `yaml:"prices" doc:"What answers are worth and what serving them costs, in answers to a plain call. They are the operators' to choose."`
	Expected   Expected       `yaml:"expect" doc:"What is expected of targets before they were observed."`
	Disabled   relay.Disabled `yaml:"without" doc:"Mechanisms that are switched off, to measure what each is worth."`
}

// Costs holds the weights of the utility that placement maximises. The unit is the utility of the
// answer to a call of a plain service.
type Costs struct {
	UtilityPerThousand   float64 `yaml:"token" doc:"What a thousand tokens of a prompt add to the worth of its answer."`
	PastObjectiveShare   float64 `yaml:"late" doc:"Part of its worth that an answer after its aim keeps."`
	RecomputePerThousand float64 `yaml:"again" doc:"Price of reading a thousand tokens again that a worker has read lately."`
	CopyPerThousand      float64 `yaml:"copied" doc:"Price of copying a thousand tokens of kept context."`
	OldWeightsPenalty    float64 `yaml:"old" doc:"Part of its worth that an answer on replaced weights loses."`
	NewConnection        float64 `yaml:"connect" doc:"Price of a new connection to a target."`
	CrossDomainPerMiB    float64 `yaml:"across" doc:"Price of a megabyte between failure domains."`
	DelayPenalty         float64 `yaml:"wait" doc:"Part of its worth that an answer loses with each aim's time before it, also within the aim."`
}

// model converts the settings, which are per thousand tokens, to a cost model per token.
func (c *Costs) model() route.CostModel {
	return route.CostModel{
		UtilityPerToken: c.UtilityPerThousand / thousand, PastObjectiveShare: c.PastObjectiveShare, RecomputePerToken: c.RecomputePerThousand / thousand, CopyPerToken: c.CopyPerThousand / thousand,
		OldWeightsPenalty: c.OldWeightsPenalty, NewConnectionCost: c.NewConnection, CrossDomainPerMiB: c.CrossDomainPerMiB, DelayPenalty: c.DelayPenalty,
	}
}

// thousand is the number of tokens that the settings of costs refer to.
const thousand = 1000

// Expected holds the prior estimates of response times, by kind of target.
type Expected struct {
	Engines Prior `yaml:"engines" doc:"Of model workers: the time to the first event."`
	Calls   Prior `yaml:"calls" doc:"Of plain targets: the time to the answer."`
}

// Prior is the prior estimate of the response times of one kind of target.
type Prior struct {
	Fixed             time.Duration `yaml:"fixed" doc:"Time of an idle target beside the reading of the prompt."`
	PerThousandOwn    time.Duration `yaml:"own" doc:"Time to read a thousand tokens of the prompt."`
	PerThousandQueued time.Duration `yaml:"before" doc:"The same for prompts that are read before it."`
	Utilisation       time.Duration `yaml:"beside" doc:"What is added at a target that runs all the requests it can."`
	QueuedPerSlot     time.Duration `yaml:"waiting" doc:"What is added for each time as many requests wait."`
	MemoryPressure    time.Duration `yaml:"crowd" doc:"Wait for memory where there is none."`
	LogStdDev         float64       `yaml:"spread" doc:"Standard deviation of the logarithm of observed over expected times."`
	Observations      float64       `yaml:"weight" doc:"How many observations this counts for."`
}

// prior converts the settings for package learn.
func (p *Prior) prior() learn.Prior {
	return learn.Prior{
		Fixed: p.Fixed, PerThousandOwn: p.PerThousandOwn, PerThousandQueued: p.PerThousandQueued, Utilisation: p.Utilisation, QueuedPerSlot: p.QueuedPerSlot, MemoryPressure: p.MemoryPressure,
		LogStdDev: p.LogStdDev, Observations: p.Observations,
	}
}

// Bounds holds the guarantees that a deployment requires of the daemons.
type Bounds struct {
	Stop         time.Duration `yaml:"stop" doc:"How long a planned stop may take."`
	OrderGap     time.Duration `yaml:"orderApart" doc:"Least time between orders of two holders of the right to give them."`
	OldWeights   time.Duration `yaml:"weights" doc:"How long after newer weights were named a request may begin on the older ones."`
	StoreSilence time.Duration `yaml:"contact" doc:"Silence of the store after which the configuration may be old."`
	// OldConfiguration is measured from the store's acknowledgement of the newer configuration.
	OldConfiguration time.Duration `yaml:"configuration" doc:"How long a request may be handled by a configuration that was replaced."`
	WarmUpFactor     float64       `yaml:"coldOver" doc:"How many times what a service says that its cold targets bear in a second they may get from all daemons together."`
	WarmUpExtra      float64       `yaml:"coldExtra" doc:"How many requests a second they may get beside."`
	CanaryShare      float64       `yaml:"exposeShare" doc:"Part of a service's requests that a version may get before its roll-out is decided."`
}

// Retries bounds the retries of requests, over all daemons together.
type Retries struct {
	PerRequest float64       `yaml:"share" doc:"Repeated sends for each request."`
	Extra      float64       `yaml:"extra" doc:"Repeated sends beside, in a window."`
	Window     time.Duration `yaml:"window" doc:"Length of the window."`
}

// Tuning holds the intervals of heartbeats between daemons.
type Tuning struct {
	Heartbeat time.Duration `yaml:"heartbeat" doc:"Time between heartbeats."`
	Suspect   time.Duration `yaml:"suspect" doc:"Silence after which a peer counts as lost. At least three heartbeats."`
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		Placement: string(route.LowestCost), LogLevel: "info", LogRate: 40,
		Bounds:  Bounds{Stop: 8 * time.Second, OrderGap: 3 * time.Second, OldWeights: 12 * time.Second, StoreSilence: 3 * time.Second, OldConfiguration: 2 * time.Second, WarmUpFactor: 1, CanaryShare: 0.1},
		Retries: Retries{PerRequest: 0.2, Window: 10 * time.Second},
		Tuning:  Tuning{Heartbeat: 150 * time.Millisecond, Suspect: 1500 * time.Millisecond},
		Costs:   Costs{UtilityPerThousand: 0.4, PastObjectiveShare: 0.25, RecomputePerThousand: 0.8, CopyPerThousand: 0.012, OldWeightsPenalty: 0.2, NewConnection: 0.03, CrossDomainPerMiB: 4, DelayPenalty: 0.1},
		Expected: Expected{
			Engines: Prior{
				Fixed: 60 * time.Millisecond, PerThousandOwn: 18 * time.Millisecond, PerThousandQueued: 15 * time.Millisecond, Utilisation: 50 * time.Millisecond,
				QueuedPerSlot: time.Second, MemoryPressure: 300 * time.Millisecond, LogStdDev: 0.5, Observations: 5,
			},
			Calls: Prior{Fixed: 40 * time.Millisecond, Utilisation: 10 * time.Millisecond, QueuedPerSlot: 40 * time.Millisecond, LogStdDev: 0.5, Observations: 5},
		},
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

// check returns the faults of the settings, each with the key of the field.
func (s *Settings) check() []string {
	var c settings.Checker
	c.Need(s.Name != "", "name", "is required")
	c.Need(s.Domain != "", "domain", "is required")
	for _, a := range []struct{ field, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"store", s.Store},
	} {
		c.Address(a.field, a.value)
	}
	c.Need(s.MemoryMB >= minMemoryMB, "memoryMB", fmt.Sprintf("must be at least %d", minMemoryMB))
	c.Need(s.MaxConnections >= 0, "maxConnections", "must not be negative")
	c.Need(slices.Contains(hostPlacements, route.Placement(s.Placement)), "placement", "must be returning, roundRobin, leastTokens or stickyHash")
	c.Need(s.LogRate > 0, "logRate", "must be more than 0")
	c.Need(slices.Contains([]string{"debug", "info", "warning", "error"}, s.LogLevel), "logLevel", "must be debug, info, warning or error")
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"bounds.stop", s.Bounds.Stop},
		{"bounds.orderApart", s.Bounds.OrderGap},
		{"bounds.contact", s.Bounds.StoreSilence},
		{"bounds.weights", s.Bounds.OldWeights},
		{"bounds.configuration", s.Bounds.OldConfiguration},
		{"retries.window", s.Retries.Window},
		{"tuning.heartbeat", s.Tuning.Heartbeat},
	} {
		c.Positive(d.field, d.value)
	}
	c.Need(s.Bounds.WarmUpFactor >= 0 && s.Bounds.WarmUpExtra >= 0, "bounds", "coldOver and coldExtra must not be negative")
	c.Need(s.Bounds.CanaryShare > 0 && s.Bounds.CanaryShare <= 1, "bounds.exposeShare", "must be more than 0 and at most 1")
	c.Need(s.Retries.PerRequest >= 0 && s.Retries.Extra >= 0, "retries", "must not be negative")
	c.Need(s.Tuning.Suspect >= 3*s.Tuning.Heartbeat, "tuning.suspect", "must be at least three heartbeats")
	return c.Faults()
}

// hostPlacements holds the placement strategies that a hosted daemon supports.
var hostPlacements = []route.Placement{route.LowestCost, route.RoundRobin, route.LeastTokens, route.StickyHash}

// minMemoryMB is the memory that a daemon with its libraries and buffers uses at start, in MiB.
const minMemoryMB = 24
