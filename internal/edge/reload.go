package edge

// Reload reads the settings again and applies the bounds, the only part that can change while
// the node runs. Invalid settings leave the current ones in force. If anything else differs,
// that is logged and takes effect at the next start.
func (n *Node) Reload() {
	if n.reload == nil {
		return
	}
	changed, err := n.reload()
	if err != nil {
		n.logger.Error("settings refused; keeping the current ones", "error", err.Error())
		return
	}
	current := *n.current.Load()
	current.Bounds = changed.Bounds
	restart := changed.fixed() != current.fixed()
	n.current.Store(&current)
	n.logger.Info("settings reloaded", "waits_for_restart", restart)
}

// fixedSettings are the settings that cannot change while a node runs.
type fixedSettings struct {
	node, region, zone                                            string
	callers, readiness, directory, peers, state, metrics, address string
}

func (s *Settings) fixed() fixedSettings {
	return fixedSettings{
		node: s.Node, region: s.Region, zone: s.Zone, callers: s.Callers, readiness: s.Readiness,
		directory: s.Directory, peers: s.Peers, state: s.State, metrics: s.Metrics, address: s.Store.URL,
	}
}
