package m3ua

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elmseam"
	"elmseam/internal/core"
	"elmseam/internal/link"
	"elmseam/internal/loop"
	"elmseam/internal/settings"
)

// Protocol is the name of this front.
const Protocol core.Protocol = "m3ua"

// Source names the list of servers in the front's file to the core.
const Source = "m3ua"

// FileConfig is the front's part of the signalling file.
type FileConfig struct {
	Listen           string         `toml:"listen"`
	PointCode        uint32         `toml:"point_code"` // this program's
	NetworkIndicator byte           `toml:"network_indicator"`
	RoutingContext   uint32         `toml:"routing_context"`
	HeartbeatMS      int            `toml:"heartbeat_ms"`
	Circuits         int            `toml:"circuits"`   // to each server
	Categories       map[string]int `toml:"categories"` // class name to calling party's category
	Cells            map[string]int `toml:"cells"`      // destination point code to first choice
	Servers          []struct {
		Name      string `toml:"name"`
		Address   string `toml:"address"`
		PointCode uint32 `toml:"point_code"`
		Cell      int    `toml:"cell"`
	} `toml:"server"`
}

// Check names the first field that makes no sense.
func (f *FileConfig) Check() error {
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	switch {
	case f.PointCode == 0 || f.PointCode > 0xffffff:
		return fmt.Errorf("point_code: %d is none", f.PointCode)
	case f.HeartbeatMS <= 0:
		return fmt.Errorf("heartbeat_ms: %d", f.HeartbeatMS)
	case f.Circuits <= 0 || f.Circuits > 1<<16:
		return fmt.Errorf("circuits: %d", f.Circuits)
	}
	for name, category := range f.Categories {
		if category < 0 || category > 255 {
			return fmt.Errorf("categories.%s: %d is none", name, category)
		}
	}
	for pc := range f.Cells {
		if _, err := strconv.ParseUint(pc, 10, 24); err != nil {
			return fmt.Errorf("cells.%s: no point code", pc)
		}
	}
	for i, s := range f.Servers {
		if _, _, err := net.SplitHostPort(s.Address); err != nil {
			return fmt.Errorf("server[%d].address: %w", i, err)
		}
		if s.Name == "" || s.PointCode == 0 {
			return fmt.Errorf("server[%d]: name or point_code missing", i)
		}
	}
	return nil
}

// Config is what the front is told. All but the file may be told anew at any time.
type Config struct {
	FileConfig
	Deployment  settings.Deployment
	CallerConn  link.Limits   // of a caller's connection
	DialTimeout time.Duration // to connect to a server and be active there

	ServerConn     link.Limits
	MaxCallers     int           // connections of callers at once
	ConfirmTimeout time.Duration // a release that a server has not confirmed by then is sent again
}

// M3UA is the front.
type M3UA struct {
	FileConfig
	config     atomic.Pointer[Config]
	loop       *loop.Loop
	log        zerolog.Logger
	sampledLog zerolog.Logger    // of what peers can cause as often as they like
	trunks     map[string]*trunk // by server
	lastSerial atomic.Uint64
	idPrefix   uint64 // what the front's ids begin with

	mu            sync.Mutex
	callByCircuit map[circuit]core.ID // callers' circuits in use
	circuitByCall map[core.ID]circuit
	active        map[*callerConn]bool
	serving       bool
}

// New makes the front.
func New(cfg Config, l *loop.Loop, log zerolog.Logger) (*M3UA, error) {
	m := &M3UA{
		FileConfig: cfg.FileConfig, loop: l, log: log, sampledLog: link.SampledLogger(log), trunks: make(map[string]*trunk),
		callByCircuit: make(map[circuit]core.ID), circuitByCall: make(map[core.ID]circuit), active: make(map[*callerConn]bool),
	}
	m.Configure(cfg)
	for name := range cfg.Categories {
		if m.classByName(name) < 0 {
			return nil, fmt.Errorf("categories.%s: no such class", name)
		}
	}
	for _, s := range cfg.Servers {
		m.trunks[s.Name] = newTrunk(circuit{cfg.PointCode, s.PointCode, 0}, cfg.Circuits)
	}
	var seed [8]byte
	rand.Read(seed[:])
	m.idPrefix = binary.BigEndian.Uint64(seed[:]) &^ 0xffffffff
	return m, nil
}

// Configure replaces what the front was told, but for its file. Connections that are open keep their limits.
func (m *M3UA) Configure(cfg Config) { m.config.Store(&cfg) }

// Servers is the front's list of servers.
func (m *M3UA) Servers() core.List {
	l := core.List{Source: Source}
	for _, s := range m.FileConfig.Servers {
		l.Servers = append(l.Servers, core.Server{
			Name: s.Name, Address: s.Address, Protocol: Protocol, Cell: s.Cell, Phase: elmseam.Ready,
		})
	}
	return l
}

// HasServer says whether a server is reached by this front.
func (m *M3UA) HasServer(name string) bool { return m.trunks[name] != nil }

// class is the class of a name, -1: none.
func (m *M3UA) classByName(name string) int {
	for i, class := range m.config.Load().Deployment.Classes {
		if class.Name == name && !class.Removed {
			return i
		}
	}
	return -1
}

// category is the calling party's category that stands for a class.
func (m *M3UA) categoryOfClass(class string) (byte, bool) {
	category, ok := m.Categories[class]
	return byte(category), ok
}

// classOf is the class that a category stands for, -1: none.
func (m *M3UA) classOfCategory(category byte) int {
	for name, have := range m.Categories {
		if have == int(category) {
			return m.classByName(name)
		}
	}
	return -1
}

// newID names a call of this front's callers.
func (m *M3UA) newID() core.ID { return core.ID(m.idPrefix | m.lastSerial.Add(1)&0xffffffff) }

// number is a called number as the module compares it: 0 is none.
func hashNumber(digits string) uint64 {
	if digits == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(digits))
	return h.Sum64()
}

// session is what both kinds of connection share: reading, heartbeats and errors.
type session struct {
	m       *M3UA
	conn    net.Conn
	limits  link.Limits
	out     *link.Outbox
	handler func(msg message, at core.Time) error
}

func (m *M3UA) newSession(conn net.Conn, limits link.Limits) session {
	return session{m: m, conn: conn, limits: limits, out: link.NewOutbox(conn, limits)}
}

var errMessageTimeout = errors.New("a message was not whole in time")

func (s *session) send(kind uint16, params ...param) {
	s.out.Post(link.Item{Data: buildMessage(kind, params...)})
}

// read takes in messages until the connection ends. What is malformed is answered by an ERR; where nothing
// behind it can be read, or the peer goes on and on, the connection ends. A silent peer is sent heartbeats,
// and given up when it answers none; one that stops within a message, or trickles it, is not waited for.
func (s *session) read() error {
	in := link.NewBuffer(s.limits.InitialBufferSize, s.limits.MaxMessageSize)
	heartbeat := time.Duration(s.m.HeartbeatMS) * time.Millisecond
	malformedCount, unanswered := 0, 0
	var messageDeadline time.Time // when the message under way must be; zero: there is none
	for {
		readDeadline := time.Now().Add(heartbeat)
		if !messageDeadline.IsZero() && messageDeadline.Before(readDeadline) {
			readDeadline = messageDeadline
		}
		s.conn.SetReadDeadline(readDeadline)
		err := in.Fill(s.conn)
		if !messageDeadline.IsZero() && !time.Now().Before(messageDeadline) {
			return errMessageTimeout
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && unanswered < maxUnansweredHeartbeats {
			unanswered++
			s.send(msgBEAT, param{tagHeartbeat, []byte("elmseam")})
			continue
		}
		if err != nil {
			return err
		}
		unanswered = 0
		at := s.m.loop.Now()
		for {
			msg, n, err := parseMessage(in.Bytes(), s.limits.MaxMessageSize)
			if err == errIncomplete {
				break
			}
			messageDeadline = time.Time{} // another one begins
			if err == nil {
				err = s.dispatch(msg, at)
			}
			if protoErr, ok := err.(*protocolError); ok {
				if malformedCount++; malformedCount == 1 {
					s.m.sampledLog.Warn().Err(err).Stringer("peer", s.conn.RemoteAddr()).Msg("malformed signalling")
				}
				s.send(msgERR, uint32Param(tagErrorCode, protoErr.code))
				if protoErr.fatal || malformedCount >= maxMalformedMessages {
					return err
				}
			} else if err != nil {
				return err
			}
			in.Skip(n)
		}
		if len(in.Bytes()) > 0 && messageDeadline.IsZero() {
			messageDeadline = time.Now().Add(s.limits.MessageTimeout)
		}
	}
}

// maxSilent is how many heartbeats in a row may stay unanswered.
const maxUnansweredHeartbeats = 2

// maxErrors is how many malformed messages a connection may bring.
const maxMalformedMessages = 8

// take handles what both sides may send and passes the rest on.
func (s *session) dispatch(msg message, at core.Time) error {
	switch msg.kind {
	case msgBEAT:
		var reply []param
		if v, ok := msg.get(tagHeartbeat); ok {
			reply = append(reply, param{tagHeartbeat, append([]byte(nil), v...)})
		}
		s.send(msgBEATACK, reply...)
		return nil
	case msgBEATACK, msgDUPU, msgDRST:
		return nil
	case msgERR:
		code, _ := msg.getUint32(tagErrorCode)
		s.m.sampledLog.Warn().Uint32("code", code).Stringer("peer", s.conn.RemoteAddr()).Msg("peer reports an error")
		return nil
	}
	return s.handler(msg, at)
}

// unknown is the error for a message that has no business here.
func unexpectedMessage(kind uint16) error {
	switch {
	case kind>>8 > 4:
		return &protocolError{errClass, fmt.Sprintf("message class %d", kind>>8), false}
	case kind == msgNTFY || kind == msgDATA || kind>>8 == 2 && kind&0xff <= 6 && kind&0xff > 0 ||
		kind>>8 == 3 && kind&0xff <= 6 && kind&0xff > 0 || kind>>8 == 4 && kind&0xff <= 4 && kind&0xff > 0:
		return &protocolError{errUnexpected, fmt.Sprintf("message %#04x is not expected here", kind), false}
	}
	return &protocolError{errType, fmt.Sprintf("message type %#04x", kind), false}
}
