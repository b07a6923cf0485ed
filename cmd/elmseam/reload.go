package main

import (
	"os"

	"github.com/rs/zerolog"

	"elmseam/internal/config"
	"elmseam/internal/core"
	"elmseam/internal/feed"
	"elmseam/internal/loop"
	"elmseam/internal/m3ua"
	"elmseam/internal/maintenance"
	"elmseam/internal/platform"
)

// reloader reads the configuration and the members file again and applies them, each as a whole or not at all. It is not safe for concurrent
// use.
type reloader struct {
	cfg            *config.Config // the running configuration
	members        config.MembersFile
	membersPath    string
	membersPathSet bool // an operator named membersPath
	inTier         bool // this softswitch exchanges datagrams with its tier
	signalling     config.SignallingFile

	loop     *loop.Loop
	platform *platform.Platform
	m3ua     *m3ua.M3UA // nil: M3UA is off
	feed     *feed.Feed
	limiter  *memoryLimiter
	log      zerolog.Logger
}

// reload applies the configuration and then the members file. Of the latter only the maintenance budget is applied.
func (r *reloader) reload() {
	if !r.reloadConfig() {
		return
	}
	r.reloadMembers()
	r.feed.Follow(r.cfg.CommandChannel, r.cfg.InitialCommands)
	r.log.Info().Str("channel", r.cfg.CommandChannel).Msg("configuration reloaded")
}

// reloadConfig applies the configuration to all but the feed. An invalid one changes nothing; reloadConfig then returns false.
func (r *reloader) reloadConfig() bool {
	newCfg, err := config.Reload(os.Getenv, r.cfg)
	if err != nil {
		r.log.Error().Err(err).Msg("configuration rejected")
		r.loop.Post(core.Misconfigured{})
		return false
	}
	if newCfg.Listen != r.cfg.Listen || newCfg.Name != r.cfg.Name || newCfg.Mgmt != r.cfg.Mgmt {
		r.log.Warn().Str("name", newCfg.Name).Str("listen", newCfg.Listen).Str("mgmt", newCfg.Mgmt).Msg("changes of name, listen and mgmt need a restart")
	}
	r.cfg = newCfg
	r.limiter.setLimits(newCfg.Limits)
	newCfg.ApplyQueueLimits()
	r.platform.Configure(newCfg.Platform())
	if r.m3ua != nil { // before the core knows the new classes and offers their calls to M3UA servers
		r.m3ua.Configure(newCfg.M3UA(r.signalling.M3UA))
	}
	r.loop.Post(core.Configured{Settings: newCfg.Settings, Limits: newCfg.Limits.Core})
	return true
}

// reloadMembers applies the members file. An invalid or incomplete one changes nothing.
func (r *reloader) reloadMembers() {
	newMembers, err := config.ReloadMembers(r.membersPath, r.membersPathSet, r.members)
	if err != nil {
		r.log.Error().Err(err).Msg("members file rejected")
		return
	}
	r.members = newMembers
	if r.inTier && newMembers.Maintenance.Enabled {
		r.loop.Post(core.MaintenanceRequest{Event: maintenance.SetBudget{Budget: newMembers.MaintenanceBudget(len(r.cfg.Peers))}})
	}
}
