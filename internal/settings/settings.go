// Package settings reads the settings of a node from a JSON file, environment variables
// (BORAGEFALL_...) and flags, in ascending precedence. All three use the same names.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

// EnvPrefix is the prefix of the environment variables that hold settings.
const EnvPrefix = "BORAGEFALL"

// ErrInvalidSetting is wrapped by every error of this package.
var ErrInvalidSetting = eris.New("invalid setting")

// Settings are the start-up parameters of a node.
type Settings struct {
	// File is the settings file; empty when there is none.
	File string
	// UnknownFields names the fields of the file that this version doesn't know and ignores:
	// a file may be written for a newer version.
	UnknownFields []string
	// Host names the host in the platform's host list. Required.
	Host string
	// DataCentre and Region are the location of the host. Required.
	DataCentre, Region string
	// Service is the service of the backend server beside the node. Required.
	Service string
	// Backend is the backend server's address, IP:port. Required.
	Backend string
	// HealthPath and LoadPath are the backend server's own endpoints. If
	// empty, which is the default, they are not probed.
	HealthPath, LoadPath string
	// LinkListen is the listening address for other nodes, IP:port. Required.
	LinkListen string
	// CallersListen is the listening address for callers, IP:port. Required.
	CallersListen string
	// AdminListen is the listening address for operators, IP:port. Required.
	AdminListen string
	// ReadyListen is the listening address for the platform's readiness checks, IP:port.
	// Required with Store.
	ReadyListen string
	// Platform is the base URL of the configuration service. Required unless
	// Store is set.
	Platform string
	// Store is the address of the platform's metadata store, IP:port. When it is
	// set, the node watches the store and needs no configuration service.
	Store string
	// Peers are link addresses of other nodes, contacted first at the start.
	Peers []string
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string
	// TraceExporter is off, stdout or otlp. Default off.
	TraceExporter string
	// TraceEndpoint is the URL of the OTLP collector. Default: that of the OpenTelemetry
	// library.
	TraceEndpoint string
	// TraceRatio is the sampled share of traces, 0 to 1. Default 0.01.
	TraceRatio float64
	// DrainLimit bounds a planned stop. Default 30 s.
	DrainLimit time.Duration
	// RetryRatio is the number of retries that the platform permits per request, 0 to 1.
	// Default 0.2.
	RetryRatio float64
	// RetrySlack is the number of retries that all nodes together may send in ten seconds
	// in addition to RetryRatio. Default 50.
	RetrySlack float64
	// ColdOvershoot is the multiple of a cold server's own rate that it may receive in any
	// second. Default 1.
	ColdOvershoot float64
	// ColdSlack is the number of requests that a cold server may receive in any second in addition
	// to ColdOvershoot. Default 0.
	ColdSlack float64
	// ConfigPropagationLimit is the time within which a change of the configuration has to
	// be in force. A node whose copy may be older does not answer that a route or a key does
	// not exist. Default 2 s.
	ConfigPropagationLimit time.Duration
	// KeyRevocationLimit is the time after which a removed API key must no longer be
	// accepted, not even by a host that is cut off. 0, the default, sets no limit.
	KeyRevocationLimit time.Duration
	// QuotaWindow is the window in which the requests of a workspace are compared with its
	// quota. Default 5 s.
	QuotaWindow time.Duration
	// QuotaOvershoot is the share by which a workspace may exceed its quota in a window, and
	// QuotaSlack the number of requests in addition. Defaults 0.
	QuotaOvershoot, QuotaSlack float64
	// MemoryMB is the memory that the process may use, in MiB. Default 128.
	MemoryMB int
	// LimitWastedRuns reports that a gate refuses new runs while calls of such runs are being
	// refused. Default false.
	LimitWastedRuns bool
	// MaxFDs is the number of descriptors that the process may open. 0, the default, means
	// the process's own limit (RLIMIT_NOFILE).
	MaxFDs int
	// LinkMbps is the rate of the host's link in Mbit/s. Default 1000.
	LinkMbps float64
	// ControlBytesPerSecond bounds control traffic sent. Default 7,000.
	ControlBytesPerSecond int
}

const (
	defaultTraceRatio   = 0.01
	defaultDrainLimit   = 30 * time.Second
	defaultControlBytes = 7000
	defaultRetryRatio   = 0.2
	defaultRetrySlack   = 50
	defaultPropagation  = 2 * time.Second
	defaultQuotaWindow  = 5 * time.Second
	defaultMemoryMB     = 128
	defaultOvershoot    = 1.0
	defaultLinkMbps     = 1000
	// minFDs is the least number of descriptors that a node works with.
	minFDs = 128
)

// Read parses args, the environment and the settings file that args name.
func Read(name string, args []string) (Settings, error) {
	s := Settings{}
	flags := s.FlagSet(name)
	flags.SetOutput(os.Stderr)
	err := ff.Parse(flags, args,
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(s.FileParser(flags)),
		ff.WithEnvVarPrefix(EnvPrefix),
	)
	if errors.Is(err, flag.ErrHelp) {
		return s, err
	}
	if err != nil {
		return s, eris.Wrap(ErrInvalidSetting, err.Error())
	}
	return s, s.Check()
}

// FileParser returns a parser of the settings file that records and skips the fields that
// are not in flags.
func (s *Settings) FileParser(flags *flag.FlagSet) ff.ConfigFileParser {
	return func(r io.Reader, set func(name, value string) error) error {
		return ff.JSONParser(r, func(name, value string) error {
			if flags.Lookup(name) == nil {
				s.UnknownFields = append(s.UnknownFields, name)
				return nil
			}
			return set(name, value)
		})
	}
}

// FlagSet returns a flag set that stores its values in s.
func (s *Settings) FlagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.StringVar(&s.File, "settings", "", "JSON `file` with these settings as keys, without the leading dashes")
	flags.StringVar(&s.Host, "host", "", "`name` of this host in the host list")
	flags.StringVar(&s.DataCentre, "data-centre", "", "`name` of this host's data centre")
	flags.StringVar(&s.Region, "region", "", "`name` of this host's region")
	flags.StringVar(&s.Service, "service", "", "`name` of the service of the backend server beside this node")
	flags.StringVar(&s.Backend, "backend", "", "`IP:port` of the backend server beside this node")
	flags.StringVar(&s.HealthPath, "health-path", "", "`path` of the backend server's health endpoint, empty for none")
	flags.StringVar(&s.LoadPath, "load-path", "", "`path` of the backend server's load endpoint, empty for none")
	flags.StringVar(&s.LinkListen, "link-listen", "", "`IP:port` where other nodes connect")
	flags.StringVar(&s.CallersListen, "callers-listen", "", "`IP:port` where callers connect")
	flags.StringVar(&s.AdminListen, "admin-listen", "", "`IP:port` where operators connect")
	flags.StringVar(&s.ReadyListen, "ready-listen", "", "`IP:port` where the platform checks the readiness of the node")
	flags.StringVar(&s.Platform, "platform", "", "base `URL` of the configuration service")
	flags.StringVar(&s.Store, "store", "", "`IP:port` of the platform's metadata store, instead of a configuration service")
	flags.Func("peer", "`IP:port` of another node's link, may be given more than once", func(text string) error {
		s.Peers = append(s.Peers, text)
		return nil
	})
	flags.StringVar(&s.LogLevel, "log-level", "info", "`level`: debug, info, warn or error")
	flags.StringVar(&s.TraceExporter, "trace-exporter", "off", "trace exporter: off, stdout or otlp")
	flags.StringVar(&s.TraceEndpoint, "trace-endpoint", "", "`URL` of the OTLP collector")
	flags.Float64Var(&s.TraceRatio, "trace-ratio", defaultTraceRatio, "sampled `share` of traces, 0 to 1")
	flags.DurationVar(&s.DrainLimit, "drain-limit", defaultDrainLimit, "longest `time` of a planned stop")
	flags.Float64Var(&s.RetryRatio, "retry-ratio", defaultRetryRatio, "retries permitted per request, 0 to 1")
	flags.Float64Var(&s.RetrySlack, "retry-slack", defaultRetrySlack, "additional repeated `sends` permitted to all nodes together in ten seconds")
	flags.Float64Var(&s.ColdOvershoot, "cold-overshoot", defaultOvershoot, "permitted `multiple` of a cold server's own rate in any second, 1 to 10")
	flags.Float64Var(&s.ColdSlack, "cold-slack", 0, "additional `requests` permitted to a cold server in any second")
	flags.DurationVar(&s.ConfigPropagationLimit, "config-propagation-limit", defaultPropagation, "`time` within which a change of the configuration has to be in force")
	flags.DurationVar(&s.KeyRevocationLimit, "key-revocation-limit", 0, "`time` after which no node may accept a removed API key, 0 for no limit")
	flags.DurationVar(&s.QuotaWindow, "quota-window", defaultQuotaWindow, "`window` in which requests are compared with a quota")
	flags.Float64Var(&s.QuotaOvershoot, "quota-overshoot", 0, "`share` by which a quota may be exceeded in a window")
	flags.Float64Var(&s.QuotaSlack, "quota-slack", 0, "additional `requests` above a quota permitted in a window")
	flags.IntVar(&s.MemoryMB, "memory-mb", defaultMemoryMB, "memory in `MiB` that the process may use")
	flags.BoolVar(&s.LimitWastedRuns, "limit-wasted-runs", false, "refuse new runs while calls of such runs are being refused")
	flags.IntVar(&s.MaxFDs, "max-fds", 0, "`descriptors` that the process may open, 0 for the process's own limit")
	flags.Float64Var(&s.LinkMbps, "link-mbps", defaultLinkMbps, "rate of the host's link in `Mbit/s`")
	flags.IntVar(&s.ControlBytesPerSecond, "control-bytes-per-second", defaultControlBytes, "`bytes` of control traffic sent a second")
	return flags
}

// Check returns an error that names the first invalid field, its value and
// the expected value.
func (s *Settings) Check() error {
	checks := []error{
		checkName("host", s.Host),
		checkName("data-centre", s.DataCentre),
		checkName("region", s.Region),
		checkName("service", s.Service),
		checkAddress("backend", s.Backend),
		checkPath("health-path", s.HealthPath),
		checkPath("load-path", s.LoadPath),
		checkAddress("link-listen", s.LinkListen),
		checkAddress("callers-listen", s.CallersListen),
		checkAddress("admin-listen", s.AdminListen),
		s.checkSource(),
		checkRange("retry-ratio", s.RetryRatio, 0, 1),
		checkRange("retry-slack", s.RetrySlack, 0, 1e6),
		checkRange("cold-overshoot", s.ColdOvershoot, 1, 10),
		checkRange("cold-slack", s.ColdSlack, 0, 1000),
		checkRange("config-propagation-limit", s.ConfigPropagationLimit.Seconds(), 0.1, 600),
		checkRange("key-revocation-limit", s.KeyRevocationLimit.Seconds(), 0, 86400),
		checkRange("quota-window", s.QuotaWindow.Seconds(), 0.1, 3600),
		checkRange("quota-overshoot", s.QuotaOvershoot, 0, 10),
		checkRange("quota-slack", s.QuotaSlack, 0, 1e6),
		checkRange("link-mbps", s.LinkMbps, 0.1, 1e6),
		checkRange("memory-mb", float64(s.MemoryMB), 16, 1e6),
		s.checkMaxFDs(),
		checkOneOf("log-level", s.LogLevel, "debug", "info", "warn", "error"),
		checkOneOf("trace-exporter", s.TraceExporter, "off", "stdout", "otlp"),
		checkRange("trace-ratio", s.TraceRatio, 0, 1),
		checkRange("drain-limit", s.DrainLimit.Seconds(), 0, 600),
		checkRange("control-bytes-per-second", float64(s.ControlBytesPerSecond), 500, 1e9),
	}
	for _, peer := range s.Peers {
		checks = append(checks, checkAddress("peer", peer))
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkSource checks the source of the configuration: a metadata store, which also requires a
// listening address for readiness checks, or a configuration service.
func (s *Settings) checkSource() error {
	if s.Store == "" {
		return checkURL("platform", s.Platform)
	}
	if err := checkAddress("store", s.Store); err != nil {
		return err
	}
	return checkAddress("ready-listen", s.ReadyListen)
}

// checkMaxFDs accepts 0 or what a node needs for its own connections and a few callers.
func (s *Settings) checkMaxFDs() error {
	if s.MaxFDs == 0 {
		return nil
	}
	return checkRange("max-fds", float64(s.MaxFDs), minFDs, 1e7)
}

func invalidSetting(field, got, want string) error {
	return eris.Wrapf(ErrInvalidSetting, "%s is %s, expected %s", field, got, want)
}

func checkName(field, value string) error {
	if value == "" || len(value) > 128 || strings.ContainsAny(value, " \t\n/") {
		return invalidSetting(field, strconv.Quote(value), "a name of 1 to 128 characters without spaces or slashes")
	}
	return nil
}

func checkAddress(field, value string) error {
	ip, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = netip.ParseAddr(ip)
	}
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return invalidSetting(field, strconv.Quote(value), "an IP address and a port, such as 127.0.0.1:7000")
	}
	return nil
}

func checkPath(field, value string) error {
	if value != "" && value[0] != '/' {
		return invalidSetting(field, strconv.Quote(value), "a path that starts with /, or an empty string")
	}
	return nil
}

func checkURL(field, value string) error {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return invalidSetting(field, strconv.Quote(value), "a URL, such as http://127.0.0.1:5000")
	}
	return nil
}

func checkOneOf(field, value string, allowed ...string) error {
	for _, option := range allowed {
		if value == option {
			return nil
		}
	}
	return invalidSetting(field, strconv.Quote(value), "one of "+strings.Join(allowed, ", "))
}

func checkRange(field string, value, low, high float64) error {
	if value < low || value > high || value != value {
		return invalidSetting(field, fmt.Sprint(value), fmt.Sprintf("a value from %v to %v", low, high))
	}
	return nil
}
