package loader

import "fmt"

// checkSettings checks rules that span several members.
func (d *document) checkSettings(s Settings) {
	d.checkOwnPeer(s)
	d.checkVoters(s)
	d.checkAddresses(s)
	if s.TLS.Peers != nil && s.TLS.Peers.CA == "" {
		d.add("Settings.tls.peers.ca", "tls.peers.ca is missing; allowed: %s", d.allowedValues("Settings.tls.peers.ca"))
	}
}

// checkOwnPeer reports differences between this entry host's own settings and its
// entry in peers.
func (d *document) checkOwnPeer(s Settings) {
	self, ok := s.Peer(s.Name)
	if !ok {
		d.add("Settings.name", "name %q is not listed in peers; allowed: the name of one of the peers", s.Name)
		return
	}
	if self.PeerAddress != s.PeerAddress {
		d.add("Settings.peer-address", "peer-address differs from the one in peers; allowed: %q", self.PeerAddress)
	}
	if self.DataCentre != s.DataCentre {
		d.add("Settings.data-centre", "data-centre differs from the one in peers; allowed: %q", self.DataCentre)
	}
}

// checkVoters checks the initial voters. No data centre may have a majority of
// them, because its loss would leave the control state without a quorum.
func (d *document) checkVoters(s Settings) {
	if len(s.Voters)%2 == 0 {
		d.add("Settings.voters", "voters are %d in number; allowed: 1, 3 or 5", len(s.Voters))
	}
	if s.IsVoter() && s.DataFolder == "" {
		d.add("Settings.data-folder", "data-folder is missing although the host is a voter; allowed: the path of a folder on a disk")
	}
	voters := make(map[string]int)
	for i, name := range s.Voters {
		path := fmt.Sprintf("Settings.voters[%d]", i)
		peer, ok := s.Peer(name)
		if !ok {
			d.add(path, "voters has %q, which is not listed in peers; allowed: the name of one of the peers", name)
			continue
		}
		voters[peer.DataCentre]++
		if len(s.Voters) > 1 && voters[peer.DataCentre] == len(s.Voters)/2+1 {
			d.add(path, "voters has its majority in data centre %q; allowed: a minority in each data centre", peer.DataCentre)
		}
	}
}

func (d *document) checkAddresses(s Settings) {
	firstPeer := make(map[string]string, len(s.Peers))
	for i, p := range s.Peers {
		path := fmt.Sprintf("Settings.peers[%d].peer-address", i)
		if other, ok := firstPeer[p.PeerAddress]; ok {
			d.add(path, "peer-address %q is that of %q already; allowed: an address of its own", p.PeerAddress, other)
		}
		firstPeer[p.PeerAddress] = p.Name
	}
	if s.HTTPAddress == s.PeerAddress {
		d.add("Settings.http-address", "http-address is the same as peer-address; allowed: an address or port of its own")
	}
}
