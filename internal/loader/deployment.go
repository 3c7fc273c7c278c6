package loader

// Deployment is the content of a deployment file: the initial control state of a
// deployment.
type Deployment struct {
	DataCentres []DataCentre `json:"data-centres" validate:"min=1,max=64,unique=Name,dive" allow:"1 to 64 data centres with different names"`
	Pools       []Pool       `json:"pools" validate:"min=1,max=256,unique=Name,dive" allow:"1 to 256 pools with different names"`
	Queues      []Queue      `json:"queues" validate:"max=1024,unique=Name,dive" allow:"at most 1024 queues with different names"`
	Contracts   []Contract   `json:"contracts" validate:"max=1024,unique=Customer,dive" allow:"at most 1024 contracts of different customers"`
	// Hosts lists single hosts and ranges of hosts.
	Hosts []HostRange `json:"hosts" validate:"max=10000,dive" allow:"at most 10000 hosts or ranges"`
	Keys  []Key       `json:"keys" validate:"max=10000,unique=ID,dive" allow:"at most 10000 keys with different ids"`
}

// DataCentre is a failure domain within a region.
type DataCentre struct {
	Name   string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	Region string `json:"region" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
}

// Pool is a set of hosts that serve the same queues.
type Pool struct {
	Name string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// AvailabilityBudget is the number of hosts that may be unavailable at the
	// same time, for planned and unplanned reasons together.
	AvailabilityBudget int64 `json:"availability-budget" validate:"min=1,max=10000" allow:"a number of hosts from 1 to 10000"`
	MinHosts           int64 `json:"min-hosts" validate:"min=0,max=10000" allow:"a number of hosts from 0 to 10000"`
	MaxHosts           int64 `json:"max-hosts" validate:"min=1,max=10000,gtefield=MinHosts" allow:"a number of hosts from min-hosts to 10000"`
	// Spare marks the pool that holds the hosts which no other pool needs.
	Spare bool `json:"spare" allow:"true or false"`
	// Favour is the goal to which the planner gives more weight.
	Favour string `json:"favour" validate:"oneof=shares cost" allow:"shares or cost"`
}

// Queue accepts the work for one service.
type Queue struct {
	Name string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	Kind string `json:"kind" validate:"oneof=requests tasks jobs" allow:"requests, tasks or jobs"`
	Pool string `json:"pool" validate:"name" allow:"the name of a pool"`
	// Open is true if the queue accepts work without a key.
	Open bool `json:"open" allow:"true or false"`
}

// Contract holds the limits and shares of one customer's teams.
type Contract struct {
	Customer   string `json:"customer" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	HomeRegion string `json:"home-region" validate:"omitempty,name" allow:"the region of a data centre, or empty"`
	Teams      []Team `json:"teams" validate:"max=1024,unique=Name,dive" allow:"at most 1024 teams with different names"`
}

// Team is a group of submitters within a contract.
type Team struct {
	Name string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// Share is the relative weight of the team when the fleet is full.
	Share int64 `json:"share" validate:"min=1,max=1000000" allow:"a whole number from 1 to 1000000"`
	// Limit is the capacity that the team may use at the same time, fleet-wide.
	Limit Capacity `json:"limit" allow:"an object with processors, memory and accelerators"`
	// RequestRate limits the team's requests per second, fleet-wide.
	RequestRate Rate `json:"request-rate" validate:"min=0,max=10000000" allow:"a rate from \"0/s\" to \"10000000/s\""`
	// RequestConcurrency limits the team's requests in flight, fleet-wide.
	RequestConcurrency int64    `json:"request-concurrency" validate:"min=0,max=10000000" allow:"a whole number from 0 to 10000000"`
	Queues             []string `json:"queues" validate:"max=1024,unique,dive,name" allow:"the names of queues, each once"`
}

// Capacity is an amount of processors, memory and accelerators.
type Capacity struct {
	Processors   MilliCores `json:"processors" validate:"min=0" allow:"processors, such as \"16 cores\" or \"500 millicores\""`
	Memory       Bytes      `json:"memory" validate:"min=0" allow:"an amount of memory, such as \"64GiB\""`
	Accelerators int64      `json:"accelerators" validate:"min=0,max=1000000" allow:"a whole number from 0 to 1000000"`
}

// HostRange is a single host or a numbered range of hosts with equal properties.
type HostRange struct {
	// Name is the name of the host, or a range such as "w-[1-12]" for w-1 to w-12.
	Name       string `json:"name" validate:"range" allow:"a name, or a range of at most 10000 hosts such as \"w-[1-12]\""`
	DataCentre string `json:"data-centre" validate:"name" allow:"the name of a data centre"`
	// Rack is the rack of all hosts in the range. If PerRack is set, it is the
	// prefix of the rack names, and numbers from 1 are appended.
	Rack string `json:"rack" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// PerRack is the number of hosts in each rack; 0 puts all of them in one rack.
	PerRack int64 `json:"per-rack" validate:"min=0,max=1000" allow:"a number of hosts from 0 to 1000; 0 puts all of them in one rack"`
	// Pools are assigned to the hosts of the range in turn, so that the failure
	// of a rack affects several pools slightly instead of one severely.
	Pools    []string `json:"pools" validate:"min=1,max=10000,dive,name" allow:"the names of one or more pools, assigned in turn"`
	Capacity Capacity `json:"capacity" allow:"an object with processors, memory and accelerators"`
}

// Key is an API key. Only its hash is stored, never the key itself.
type Key struct {
	ID   string `json:"id" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	Role string `json:"role" validate:"oneof=submitter operator" allow:"submitter or operator"`
	// Team is the team of a submitter; empty for operators.
	Team string `json:"team" validate:"required_if=Role submitter,excluded_if=Role operator,omitempty,name" allow:"the name of a team with the role submitter, empty with the role operator"`
	// SHA256 is the hash of the key in hexadecimal digits.
	SHA256 string `json:"sha256" validate:"len=64,hexadecimal,lowercase" allow:"64 lower-case hexadecimal digits"`
}
