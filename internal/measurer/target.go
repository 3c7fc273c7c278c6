package measurer

// The target size of the design, section 1, and its bounds.
const (
	targetHosts       = 6600
	targetTeams       = 71
	targetPools       = 35
	targetDataCentres = 11
	targetRegions     = 3

	secondsPerDay = 86_400

	// changesPerSecond counts the changes of operators, and two commands (out
	// and back, or removed and added) for each failure and restart of a day.
	changesPerSecond = float64(7500+2*(110+690)) / secondsPerDay

	boundCore    = 2.7
	boundMemory  = 32
	boundTraffic = 2048
)

// What the design leaves open about the target size.
const (
	// hostsHere is the number of workers of one data centre.
	hostsHere = targetHosts / targetDataCentres

	// targetEntryHosts is two for each data centre, because the copy of a task
	// stays in its data centre when there is a second entry host.
	targetEntryHosts = 2 * targetDataCentres

	// targetUpstreams is one service of 12 upstreams for each pool.
	targetUpstreams = 12 * targetPools

	// tasksOfWorker is the number of tasks that a worker of 64 cores runs.
	tasksOfWorker = 20

	// keysKept is the number of idempotency keys that one entry host holds as
	// owner or copy holder: 50 keyed requests a second over 10 minutes.
	keysKept = 50 * 600

	// statusCalls is the number of calls a second of the operators' side: a
	// page that is read again each second by two operators.
	statusCalls = 2
)
