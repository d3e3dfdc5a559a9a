package relay

// Disabled disables single mechanisms, to measure what each contributes. The zero value disables
// none.
type Disabled struct {
	Times           bool `yaml:"times" doc:"Learning times to first answers: what is expected of targets stays as the settings say."`
	Targets         bool `yaml:"targets" doc:"Learning which targets are slow or fail."`
	LinkSpeeds      bool `yaml:"linkSpeeds" doc:"Learning how slow the links of stores and workers are."`
	LinkQueues      bool `yaml:"linkQueues" doc:"Counting the copies that wait for a link."`
	CopyLimits      bool `yaml:"copyLimits" doc:"Limiting the time of copies by the latency objective, and avoiding links whose copies were late."`
	Retention       bool `yaml:"retention" doc:"Learning how long workers hold parts: the chance stays as expected."`
	StoreCopies     bool `yaml:"storeCopies" doc:"Keeping parts in stores and copying them from there."`
	WorkerCopies    bool `yaml:"workerCopies" doc:"Copying parts from other workers."`
	SpareCopies     bool `yaml:"spareCopies" doc:"Copying parts that the worker likely holds, in case it does not."`
	Prefill         bool `yaml:"reading" doc:"Reading parts that could be copied, where copies take too long."`
	MemoryPressure  bool `yaml:"crowd" doc:"Weighing how full a worker's memory will be."`
	QueueCost       bool `yaml:"line" doc:"Weighing what others lose by a request's work."`
	Waiting         bool `yaml:"waiting" doc:"Waiting for a place while an answer is expected: a request without a place is refused at once."`
	Queue           bool `yaml:"queue" doc:"The order among waiting requests: they are tried in the order of arrival, without times to return."`
	Refusals        bool `yaml:"refusals" doc:"Refusing what callers gain nothing by: every request is sent somewhere."`
	Publishing      bool `yaml:"telling" doc:"Telling other daemons of each prompt at once: they hear with the next heartbeat."`
	WaitBudget      bool `yaml:"patience" doc:"Leaving a slow call for another target."`
	Retries         bool `yaml:"repeats" doc:"Sending a request again after a failure."`
	ContextOwners   bool `yaml:"homes" doc:"Asking the cell where a context is at home: prompts are decided in the cell that their callers reached."`
	OpenConnections bool `yaml:"warm" doc:"Preferring targets that a connection is open to."`
	Division        bool `yaml:"division" doc:"Learning pauses in streams, and preferring a share of the workers for streams that suffer from prefill."`
	LocalDomain     bool `yaml:"near" doc:"Preferring targets in the daemon's own failure domain."`
	OpenRace        bool `yaml:"openRace" doc:"Leaving a target that takes long to accept a connection for another one, and avoiding it for a moment."`
	Hedges          bool `yaml:"hedges" doc:"Sending a request that may be repeated to a second target while the first one takes too long. Without it, patience applies."`
}
