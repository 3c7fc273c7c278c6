package loader

import "fmt"

// maxHosts bounds all ranges together. It is more than ten times the target
// of 6,600 workers.
const maxHosts = 100_000

// names is a set of defined names.
type names map[string]bool

func namesOf[T any](values []T, name func(T) string) names {
	found := make(names, len(values))
	for _, v := range values {
		found[name(v)] = true
	}
	return found
}

// checkDeployment reports names that are not defined or are used twice.
func (d *document) checkDeployment(dep Deployment) {
	pools := namesOf(dep.Pools, func(p Pool) string { return p.Name })
	queues := namesOf(dep.Queues, func(q Queue) string { return q.Name })
	for i, q := range dep.Queues {
		d.checkName(fmt.Sprintf("Deployment.queues[%d].pool", i), q.Pool, pools, "pool")
	}
	teams := d.checkContracts(dep, queues)
	d.checkHosts(dep, pools)
	d.checkKeys(dep, teams)
	d.checkSpare(dep)
}

// checkName reports a name that is not known. When none is known, the list of
// them has a problem of its own.
func (d *document) checkName(path, name string, known names, kind string) {
	if len(known) > 0 && !known[name] {
		d.add(path, "%s names %s %q, which the file doesn't define; allowed: a %s of this file", d.shown(path), kind, name, kind)
	}
}

func (d *document) checkContracts(dep Deployment, queues names) names {
	regions := namesOf(dep.DataCentres, func(c DataCentre) string { return c.Region })
	teams := make(names)
	for i, c := range dep.Contracts {
		path := fmt.Sprintf("Deployment.contracts[%d]", i)
		if c.HomeRegion != "" {
			d.checkName(path+".home-region", c.HomeRegion, regions, "region")
		}
		for j, t := range c.Teams {
			team := fmt.Sprintf("%s.teams[%d]", path, j)
			if teams[t.Name] {
				d.add(team+".name", "team %q is in another contract already; allowed: a team of one contract", t.Name)
			}
			teams[t.Name] = true
			for k, q := range t.Queues {
				d.checkName(fmt.Sprintf("%s.queues[%d]", team, k), q, queues, "queue")
			}
		}
	}
	return teams
}

// checkHosts keeps one-pool: a host name occurs once, so the host has one pool.
func (d *document) checkHosts(dep Deployment, pools names) {
	dataCentres := namesOf(dep.DataCentres, func(c DataCentre) string { return c.Name })
	seen := make(names)
	for i, h := range dep.Hosts {
		path := fmt.Sprintf("Deployment.hosts[%d]", i)
		d.checkName(path+".data-centre", h.DataCentre, dataCentres, "data centre")
		for j, p := range h.Pools {
			d.checkName(fmt.Sprintf("%s.pools[%d]", path, j), p, pools, "pool")
		}
		expanded, _ := expandName(h.Name)
		if len(seen)+len(expanded) > maxHosts {
			d.add("Deployment.hosts", "hosts has more than %d hosts in all; allowed: at most %d", maxHosts, maxHosts)
			return
		}
		for _, name := range expanded {
			if seen[name] {
				d.add(path+".name", "host %q is listed twice; allowed: each host once", name)
				break
			}
			seen[name] = true
		}
	}
}

func (d *document) checkKeys(dep Deployment, teams names) {
	seen := make(names, len(dep.Keys))
	for i, k := range dep.Keys {
		path := fmt.Sprintf("Deployment.keys[%d]", i)
		if k.Team != "" {
			d.checkName(path+".team", k.Team, teams, "team")
		}
		if seen[k.SHA256] {
			d.add(path+".sha256", "%s is that of another key; allowed: a key of its own", d.shown(path+".sha256"))
		}
		seen[k.SHA256] = true
	}
}

func (d *document) checkSpare(dep Deployment) {
	spare := false
	for i, p := range dep.Pools {
		if p.Spare && spare {
			d.add(fmt.Sprintf("Deployment.pools[%d].spare", i), "pools has a second spare pool; allowed: one")
		}
		spare = spare || p.Spare
	}
}
