package m3ua

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/circuitfile"
	"elmseam/internal/core"
	"elmseam/internal/loop"
	"elmseam/internal/settings"
	"elmseam/internal/transport"
)

// Protocol is the name under which the core knows this signalling protocol.
const Protocol core.Protocol = "m3ua"

// Source is the name under which the core keeps the list of servers from the signalling file.
const Source = "m3ua"

// FileConfig is the m3ua table of the signalling file.
type FileConfig struct {
	Listen           string         `toml:"listen"`     // host:port for callers
	PointCode        uint32         `toml:"point_code"` // this program's point code
	NetworkIndicator byte           `toml:"network_indicator"`
	RoutingContext   uint32         `toml:"routing_context"`
	HeartbeatMS      int            `toml:"heartbeat_ms"` // silence after which a peer is sent a heartbeat, in milliseconds
	Circuits         int            `toml:"circuits"`     // number of circuits to each server
	StateDir         string         `toml:"state_dir"`    // directory of the files with the circuits' states; empty: $TMPDIR
	Categories       map[string]int `toml:"categories"`   // calling party's category by class name
	Cells            map[string]int `toml:"cells"`        // index of the preferred cell by destination point code, in decimal
	Servers          []struct {
		Name      string `toml:"name"`
		Address   string `toml:"address"`
		PointCode uint32 `toml:"point_code"`
		Cell      int    `toml:"cell"` // index of the server's cell
	} `toml:"server"`
}

// maxPointCode is the largest point code, of 24 bits.
const maxPointCode = 0xffffff

// Check returns an error that names an invalid field, or nil if it finds none.
func (f *FileConfig) Check() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	switch {
	case f.PointCode == 0 || f.PointCode > maxPointCode:
		return fmt.Errorf("point_code: %d is not between 1 and %d", f.PointCode, maxPointCode)
	case f.HeartbeatMS <= 0:
		return fmt.Errorf("heartbeat_ms: %d is not positive", f.HeartbeatMS)
	case f.Circuits <= 0 || f.Circuits > 1<<16:
		return fmt.Errorf("circuits: %d is not between 1 and 65536", f.Circuits)
	}
	if err := f.checkCategories(); err != nil {
		return err
	}
	for text := range f.Cells {
		pointCode, err := strconv.ParseUint(text, 10, 24)
		if err != nil {
			return fmt.Errorf("cells.%s: not a point code", text)
		}
		if text != strconv.FormatUint(pointCode, 10) {
			return fmt.Errorf("cells.%s: is to be written as %d", text, pointCode)
		}
	}
	return f.checkServers()
}

// checkCategories checks the categories of classes. A category stands for one class.
func (f *FileConfig) checkCategories() error {
	classes := make(map[int]string)
	for _, name := range slices.Sorted(maps.Keys(f.Categories)) {
		category := f.Categories[name]
		if category < 0 || category > 255 {
			return fmt.Errorf("categories.%s: %d is not between 0 and 255", name, category)
		}
		if other, used := classes[category]; used {
			return fmt.Errorf("categories.%s: %d is the category of %s", name, category, other)
		}
		classes[category] = name
	}
	return nil
}

// checkServers checks the servers.
func (f *FileConfig) checkServers() error {
	names := make(map[string]bool)
	for i, s := range f.Servers {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("server[%d].address: %w", i, err)
		}
		switch {
		case s.Name == "":
			return fmt.Errorf("server[%d].name: missing", i)
		case names[s.Name]:
			return fmt.Errorf("server[%d].name: %q is the name of another server", i, s.Name)
		case s.PointCode == 0 || s.PointCode > maxPointCode:
			return fmt.Errorf("server[%d].point_code: %d is not between 1 and %d", i, s.PointCode, maxPointCode)
		}
		names[s.Name] = true
	}
	return nil
}

// Config holds the settings of the protocol. Configure can replace all of them but FileConfig at any time.
type Config struct {
	FileConfig
	Deployment     settings.Deployment
	CallerConn     transport.Limits // limits of a caller's connection
	ConnectTimeout time.Duration    // max time to connect to a server, and again to become active there

	ServerConn     transport.Limits // limits of a connection to a server
	MaxCallerConns int              // maximum number of open connections of callers
	ConfirmTimeout time.Duration    // min wait before a release that a server has not confirmed is sent again
	Name           string           // name of this softswitch, for the files in StateDir

	CallerQueues *transport.Budget // memory of what is queued for all callers
	ServerQueues *transport.Budget // memory of what is queued for all servers
}

// M3UA serves callers and reaches servers over M3UA-style signalling.
type M3UA struct {
	FileConfig
	config         atomic.Pointer[Config] // as of the last Configure
	loop           *loop.Loop
	log            zerolog.Logger
	sampledLog     zerolog.Logger    // for lines that a peer can cause at any rate
	trunks         map[string]*trunk // by server name
	acceptor       *transport.Acceptor
	lastCallSerial atomic.Uint64 // serial number in the id that newCallID returned last
	callIDPrefix   uint64        // random high half of the ids that newCallID returns

	mu            sync.Mutex            // guards the fields below
	callByCircuit map[circuitID]core.ID // calls on callers' circuits
	circuitByCall map[core.ID]circuitID // the inverse of callByCircuit
	callerFile    *circuitfile.Callers  // keeps callByCircuit for the next process; nil: nothing does
	earlierCalls  map[core.ID]bool      // calls of callByCircuit that an earlier process left
	activeCallers map[*callerConn]bool  // callers' connections whose ASP is active
	serving       bool                  // whether new calls are accepted
}

// New returns an M3UA that posts its events to the loop. It fails if a category is configured for an unknown class.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) (*M3UA, error) {
	m := &M3UA{
		FileConfig: cfg.FileConfig, loop: l, log: log, sampledLog: transport.SampledLogger(log), trunks: make(map[string]*trunk),
		callByCircuit: make(map[circuitID]core.ID), circuitByCall: make(map[core.ID]circuitID), activeCallers: make(map[*callerConn]bool), earlierCalls: make(map[core.ID]bool),
	}
	m.acceptor = transport.NewAcceptor(func() int { return m.config.Load().MaxCallerConns }, m.serveCaller)
	m.Configure(cfg)
	for name := range cfg.Categories {
		if m.classByName(name) < 0 {
			return nil, fmt.Errorf("categories.%s: no such class", name)
		}
	}
	for _, s := range cfg.Servers {
		m.trunks[s.Name] = m.newTrunk(s.Name, circuitID{cfg.PointCode, s.PointCode, 0}, cfg)
	}
	var seed [8]byte
	rand.Read(seed[:])
	m.callIDPrefix = binary.BigEndian.Uint64(seed[:]) &^ 0xffffffff
	return m, nil
}

// Configure replaces the settings. The FileConfig stays that of the start, and open connections keep their limits.
func (m *M3UA) Configure(cfg Config) {
	m.config.Store(&cfg)
	m.acceptor.MaxConnsChanged()
}

// Servers returns the list of servers in the signalling file.
func (m *M3UA) Servers() core.ServerList {
	l := core.ServerList{Source: Source}
	for _, s := range m.FileConfig.Servers {
		l.Servers = append(l.Servers, core.Server{
			Name: s.Name, Address: s.Address, Protocol: Protocol, Cell: s.Cell, Phase: elmseam.PhaseReady,
		})
	}
	return l
}

// HasServer reports whether the signalling file lists the server.
func (m *M3UA) HasServer(name string) bool { return m.trunks[name] != nil }

// classByName returns the index of the class with the given name, or -1 if there is none or it is removed.
func (m *M3UA) classByName(name string) int {
	for i, class := range m.config.Load().Deployment.Classes {
		if class.Name == name && !class.Removed {
			return i
		}
	}
	return -1
}

// categoryOfClass returns the calling party's category that stands for a class.
func (m *M3UA) categoryOfClass(class string) (byte, bool) {
	category, ok := m.Categories[class]
	return byte(category), ok
}

// classOfCategory returns the index of the class that a calling party's category stands for, or -1.
func (m *M3UA) classOfCategory(category byte) int {
	for name, configured := range m.Categories {
		if configured == int(category) {
			return m.classByName(name)
		}
	}
	return -1
}

// newCallID returns an id for a new call from a caller.
func (m *M3UA) newCallID() core.ID {
	return core.ID(m.callIDPrefix | m.lastCallSerial.Add(1)&0xffffffff)
}
