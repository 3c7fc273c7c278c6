package loader

import "fmt"

// maxHosts limits the number of hosts in all ranges together. It is more than ten
// times the 6,600 workers that the system is designed for.
const maxHosts = 100_000

// nameSet is a set of names, such as those that a file defines.
type nameSet map[string]bool

func nameSetOf[T any](values []T, nameOf func(T) string) nameSet {
	found := make(nameSet, len(values))
	for _, v := range values {
		found[nameOf(v)] = true
	}
	return found
}

// checkDeployment checks rules that span several members: that references name
// something that the file defines, and that names and keys are unique.
func (d *document) checkDeployment(dep Deployment) {
	pools := nameSetOf(dep.Pools, func(p Pool) string { return p.Name })
	queues := nameSetOf(dep.Queues, func(q Queue) string { return q.Name })
	for i, q := range dep.Queues {
		d.checkName(fmt.Sprintf("Deployment.queues[%d].pool", i), q.Pool, pools, "pool")
	}
	teams := d.checkContracts(dep, queues)
	d.checkHosts(dep, pools)
	d.checkKeys(dep, teams)
	d.checkSparePool(dep)
}

// checkName reports a reference to a name that is not known. If no names are
// known at all, it reports nothing, to avoid a consequential problem for each
// reference.
func (d *document) checkName(path, name string, known nameSet, kind string) {
	if len(known) > 0 && !known[name] {
		d.add(path, "%s names %s %q, which the file doesn't define; allowed: a %s of this file", d.displayPath(path), kind, name, kind)
	}
}

// checkContracts checks references in the contracts and returns the names of all
// teams.
func (d *document) checkContracts(dep Deployment, queues nameSet) nameSet {
	regions := nameSetOf(dep.DataCentres, func(c DataCentre) string { return c.Region })
	teams := make(nameSet)
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

// checkHosts checks references in the host ranges and reports host names that
// occur twice. This ensures the invariant one-pool: each host is in one pool.
func (d *document) checkHosts(dep Deployment, pools nameSet) {
	dataCentres := nameSetOf(dep.DataCentres, func(c DataCentre) string { return c.Name })
	seen := make(nameSet)
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

func (d *document) checkKeys(dep Deployment, teams nameSet) {
	seen := make(nameSet, len(dep.Keys))
	for i, k := range dep.Keys {
		path := fmt.Sprintf("Deployment.keys[%d]", i)
		if k.Team != "" {
			d.checkName(path+".team", k.Team, teams, "team")
		}
		if seen[k.SHA256] {
			d.add(path+".sha256", "%s is that of another key; allowed: a key of its own", d.displayPath(path+".sha256"))
		}
		seen[k.SHA256] = true
	}
}

func (d *document) checkSparePool(dep Deployment) {
	spare := false
	for i, p := range dep.Pools {
		if p.Spare && spare {
			d.add(fmt.Sprintf("Deployment.pools[%d].spare", i), "pools has a second spare pool; allowed: one")
		}
		spare = spare || p.Spare
	}
}
