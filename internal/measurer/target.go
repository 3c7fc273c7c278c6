package measurer

// The target size from section 1 of the design, and its bounds.
const (
	targetHosts       = 6600
	targetTeams       = 71
	targetPools       = 35
	targetDataCentres = 11
	targetRegions     = 3

	secondsPerDay = 86_400

	// changesPerSecond counts 7,500 operators' changes a day, and two commands
	// (out and back in, or removed and added) for each of the day's 800 failures
	// and restarts.
	changesPerSecond = float64(7500+2*(110+690)) / secondsPerDay

	maxCorePercent    = 2.7
	maxMemoryMB       = 32
	maxBytesPerSecond = 2048
)

// Assumptions about the target size that the design doesn't specify.
const (
	// hostsPerDataCentre is the number of workers of one data centre.
	hostsPerDataCentre = targetHosts / targetDataCentres

	// targetEntryHosts is two per data centre, because the copy of a task stays in
	// its data centre if that has a second entry host.
	targetEntryHosts = 2 * targetDataCentres

	// targetUpstreams assumes one service with 12 upstreams for each pool.
	targetUpstreams = 12 * targetPools

	// tasksPerWorker is the number of tasks that a worker of 64 cores runs.
	tasksPerWorker = 20

	// keysPerEntryHost is the number of idempotency keys that one entry host holds as
	// owner or copy holder: 50 keyed requests a second over 10 minutes.
	keysPerEntryHost = 50 * 600

	// statusCallRate is the number of status calls per second: two operators
	// whose status page reloads every second.
	statusCallRate = 2
)
