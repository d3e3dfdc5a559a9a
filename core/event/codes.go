package event

// Code numbers one kind of event. The number never changes its meaning, so
// that logs of different versions can be read together.
type Code int

// The codes of all events. docs/EVENTS.md is written from the catalogue below.
const (
	DaemonStarted    Code = 1001
	DaemonReady      Code = 1002
	DaemonNotReady   Code = 1003
	DaemonDraining   Code = 1004
	DaemonStopped    Code = 1005
	KeysReloaded     Code = 1006
	KeysRejected     Code = 1007
	InvariantBroken  Code = 1008
	SettingsReloaded Code = 1009
	SettingsRejected Code = 1010

	PeerUp          Code = 2001
	PeerDown        Code = 2002
	PeerRefused     Code = 2003
	BoxAppeared     Code = 2010
	BoxLeaving      Code = 2011
	BoxGone         Code = 2012
	BoxListFailed   Code = 2013
	TargetLeaving   Code = 2014
	TargetReturning Code = 2015
	TargetSuspect   Code = 2016
	TargetHealthy   Code = 2017
	DomainEvacuated Code = 2018
	DomainReturned  Code = 2019
	TargetEnded     Code = 2020

	TargetSaysLeaving Code = 2021
	TargetRests       Code = 2022
	TargetRested      Code = 2023
	TargetUnreadable  Code = 2024
	TargetLimits      Code = 2025
	TargetUnlimited   Code = 2026

	ConfApplied     Code = 3001
	ConfWritten     Code = 3002
	ConfRejected    Code = 3003
	ConfUnknown     Code = 3004
	ConfResynced    Code = 3005
	ConfStale       Code = 3006
	ServiceDown     Code = 3007
	ServiceUp       Code = 3008
	ConfPending     Code = 3009
	ConfUnderived   Code = 3010
	PeerNotTold     Code = 3011
	ValueFetched    Code = 3012
	RolloutStep     Code = 3013
	ListShardTaken  Code = 3014
	ConfDropped     Code = 3015
	ServiceRestored Code = 3016
	ValueInForce    Code = 3017

	RequestAccepted  Code = 4001
	RequestPlaced    Code = 4002
	RequestDone      Code = 4003
	RequestRefused   Code = 4004
	RequestRetried   Code = 4005
	StreamResumed    Code = 4006
	StreamBroken     Code = 4007
	CallerGone       Code = 4008
	AnswerRejected   Code = 4009
	RequestSuspected Code = 4010
	RequestBlocked   Code = 4011
	RequestReleased  Code = 4012

	ContextImported Code = 5001
	ImportRejected  Code = 5002
	ContextExported Code = 5003
	ExportFailed    Code = 5004
	CacheGap        Code = 5005
	CacheResynced   Code = 5006
	StoreReclaimed  Code = 5007

	ClaimGranted   Code = 6001
	ClaimRefused   Code = 6002
	ClaimAnswered  Code = 6003
	ShardTaken     Code = 6004
	ShardLost      Code = 6005
	ClaimUnsettled Code = 6006
	CallSent       Code = 6007
	CallUnknown    Code = 6008

	LeaseTaken    Code = 7001
	LeaseLost     Code = 7002
	OrderSent     Code = 7003
	OrderDone     Code = 7004
	OrderRejected Code = 7005
	OrderDeferred Code = 7006
)

// Level is the severity of an event.
type Level string

// The levels of events, in rising order.
const (
	Debug   Level = "debug"
	Info    Level = "info"
	Warning Level = "warning"
	Error   Level = "error"
)

// Entry describes one code of the catalogue.
type Entry struct {
	Code    Code
	Name    string
	Level   Level
	Meaning string
}

var catalogue = []Entry{
	{DaemonStarted, "daemonStarted", Info, "The daemon has read its settings and opened its listeners."},
	{DaemonReady, "daemonReady", Info, "The daemon knows a configuration that it may serve under, and takes requests."},
	{DaemonNotReady, "daemonNotReady", Warning, "The daemon takes no requests; the text says why."},
	{DaemonDraining, "daemonDraining", Info, "A planned stop has begun: no new requests, running ones go on."},
	{DaemonStopped, "daemonStopped", Info, "The last request has ended, or the drain limit has passed; the process ends."},
	{KeysReloaded, "keysReloaded", Info, "Changed TLS files were read and are in use."},
	{KeysRejected, "keysRejected", Error, "Changed TLS files do not fit together; the former ones stay in use."},
	{InvariantBroken, "invariantBroken", Error, "A state was met that the program rules out. Please report it with the stack."},
	{SettingsReloaded, "settingsReloaded", Info, "A changed settings file was read; the text says what of it is in force."},
	{SettingsRejected, "settingsRejected", Error, "A changed settings file has faults; the former settings stay in force."},

	{PeerUp, "peerUp", Info, "Heartbeats of another daemon arrive."},
	{PeerDown, "peerDown", Warning, "No heartbeat of another daemon arrived within the suspicion time."},
	{PeerRefused, "peerRefused", Error, "A connection to the peer port did not prove that it comes from a daemon."},
	{BoxAppeared, "boxAppeared", Info, "The box list names a new box."},
	{BoxLeaving, "boxLeaving", Info, "The box list says that a box is leaving; its target gets no new work."},
	{BoxGone, "boxGone", Info, "The box list no longer names a box."},
	{BoxListFailed, "boxListFailed", Warning, "The box list could not be read; the last known one stays in use."},
	{TargetLeaving, "targetLeaving", Info, "An operator's drain order for a target is in force here."},
	{TargetReturning, "targetReturning", Info, "An operator's drain order for a target was taken back."},
	{TargetSuspect, "targetSuspect", Warning, "A target did not answer; it gets no new work until it answers again."},
	{TargetHealthy, "targetHealthy", Info, "A suspected target answers again."},
	{DomainEvacuated, "domainEvacuated", Warning, "Operators ask to send nothing to the targets of a failure domain; the resource names it."},
	{DomainReturned, "domainReturned", Info, "An evacuation was taken back; the domain's targets get few requests until they count as warm."},
	{TargetEnded, "targetEnded", Warning, "A run of a target ended under requests of this daemon, not as planned; the text counts them."},
	{TargetSaysLeaving, "targetSaysLeaving", Info, "A run of a target said in an answer that it leaves, and gets no new work whatever its entry says; the text has whose answer: this daemon's or a peer's."},
	{TargetRests, "targetRests", Info, "A target turned a request of this daemon away and asked for rest; it gets nothing for the time in the text. At most one line a second and target."},
	{TargetRested, "targetRested", Info, "A target that rested has taken a request of this daemon again."},
	{TargetUnreadable, "targetUnreadable", Warning, "A target asked for rest or named a limit in a way that can't be read, which is passed over; one line for each run."},
	{TargetLimits, "targetLimits", Info, "A run of a target named the request rate that it takes from all daemons together, or another one than before; the text has the rate and whose answer: this daemon's or a peer's. At most one line a second and target."},
	{TargetUnlimited, "targetUnlimited", Info, "A run of a target no longer names a request rate. Lines of limits are at most one a second and target."},

	{ConfApplied, "confApplied", Debug, "A configuration change is in force in this daemon."},
	{ConfWritten, "confWritten", Info, "A configuration change was committed through this daemon."},
	{ConfRejected, "confRejected", Info, "A configuration change was refused; nothing was changed."},
	{ConfUnknown, "confUnknown", Warning, "The answer to a configuration write was lost and reading back has not settled it yet."},
	{ConfResynced, "confResynced", Info, "The whole configuration was read anew, from the service or from a peer."},
	{ConfStale, "confStale", Warning, "This daemon cannot confirm that its configuration is current."},
	{ServiceDown, "serviceDown", Warning, "The key-value service does not answer."},
	{ServiceUp, "serviceUp", Info, "The key-value service answers again."},
	{ConfPending, "confPending", Warning, "A committed change is not yet in force in every live daemon; the text names them."},
	{ConfUnderived, "confUnderived", Error, "A stored resource cannot be read; the former state of it stays in force."},
	{PeerNotTold, "peerNotTold", Info, "A peer did not tell what has changed in the key-value service; the text names it, the time that this took and the reason."},
	{ValueFetched, "valueFetched", Info, "A large value was fetched by itself; the text names its revision and sizes, where it came from and the time that this took."},
	{RolloutStep, "rolloutStep", Info, "A roll-out has gone on, by decision of this daemon; the resource is the service, the text names phase, version and what decided it."},
	{ListShardTaken, "listShardTaken", Info, "This daemon holds another shard of the list of targets than before; the text has the peer that told it, the cell and the number of entries that it took."},
	{ConfDropped, "confDropped", Info, "A copy of what the key-value service holds was older than what is known and was dropped; the text has both revisions."},
	{ServiceRestored, "serviceRestored", Warning, "The key-value service has come back from an older copy; the text has the era and revision of the copy, and the highest known before: what lies between is lost until its writers write it again."},
	{ValueInForce, "valueInForce", Warning, "The key-value service holds an older value than the one that a peer has in force; the text has the version taken from the peer."},

	{RequestAccepted, "requestAccepted", Debug, "A caller's request was authenticated and read."},
	{RequestPlaced, "requestPlaced", Info, "A target was chosen; the text gives the reasons and the candidates weighed."},
	{RequestDone, "requestDone", Info, "The whole answer was given to the caller."},
	{RequestRefused, "requestRefused", Info, "The request was refused; the text gives code and whether it ran."},
	{RequestRetried, "requestRetried", Warning, "The chosen target failed before its answer began; another is chosen."},
	{StreamResumed, "streamResumed", Warning, "A broken stream goes on from the token after the last one delivered."},
	{StreamBroken, "streamBroken", Warning, "A stream could not be resumed and was ended with an explicit error."},
	{CallerGone, "callerGone", Info, "The caller closed its connection; the target was told to stop."},
	{AnswerRejected, "answerRejected", Error, "A target's answer belongs to another request or weight version and was thrown away."},
	{RequestSuspected, "requestSuspected", Warning, "Two runs of targets ended while the same request was there; the text has its fingerprint and the runs."},
	{RequestBlocked, "requestBlocked", Error, "A request is not sent any more, since runs of targets end under it; the text has its fingerprint, for how long, how often before, and who told or what ended."},
	{RequestReleased, "requestReleased", Info, "A blocked request may be sent again; the text says why."},

	{ContextImported, "contextImported", Info, "Kept blocks were read from a store into a worker and passed their checks."},
	{ImportRejected, "importRejected", Warning, "Blocks read from a store failed their checks; they are computed again."},
	{ContextExported, "contextExported", Info, "Blocks were written to a store and committed by a manifest."},
	{ExportFailed, "exportFailed", Warning, "An export did not finish; no manifest names its blocks."},
	{CacheGap, "cacheGap", Warning, "A worker's cache events have a gap; nothing known before it is trusted."},
	{CacheResynced, "cacheResynced", Info, "A worker's cache contents were read anew."},
	{StoreReclaimed, "storeReclaimed", Info, "A full store gave up kept contexts."},

	{ClaimGranted, "claimGranted", Debug, "A call with an idempotency key may run; its claim is committed."},
	{ClaimRefused, "claimRefused", Info, "A call with an idempotency key may not run; the text says why."},
	{ClaimAnswered, "claimAnswered", Debug, "A repeated call got the recorded outcome of the first one."},
	{ShardTaken, "shardTaken", Info, "This daemon owns a shard of claims."},
	{ShardLost, "shardLost", Warning, "Another daemon owns a shard of claims that this one owned."},
	{ClaimUnsettled, "claimUnsettled", Warning, "The answer to a claim write was lost; no claim of it is granted until it is read back."},
	{CallSent, "callSent", Debug, "A call that may not be repeated was handed to a target."},
	{CallUnknown, "callUnknown", Warning, "A call that may not be repeated was cut; whether it ran is unknown."},

	{LeaseTaken, "leaseTaken", Info, "This daemon holds a lease; the text names it and its epoch."},
	{LeaseLost, "leaseLost", Warning, "A lease of this daemon was found to have passed to another."},
	{OrderSent, "orderSent", Info, "A fenced order was sent to a worker."},
	{OrderDone, "orderDone", Info, "A worker reports the ordered state."},
	{OrderRejected, "orderRejected", Warning, "A worker or the service refused an order, for example for its fence."},
	{OrderDeferred, "orderDeferred", Debug, "An order waits because enough workers are loading."},
}

// Catalogue returns a copy of the descriptions of all events, in numeric order.
func Catalogue() []Entry {
	return append([]Entry(nil), catalogue...)
}

var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(catalogue))
	for _, e := range catalogue {
		m[e.Code] = e
	}
	return m
}()
