package cassiacatalog

import (
	"net"
	"strings"
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaid"
)

// Version is the version number of an accepted configuration; a larger one is newer.
type Version uint64

// ServiceName names a service: a group of interchangeable targets, such as the replicas of one shard of an index.
type ServiceName string

// RouteName names a route.
type RouteName string

// Service is the configuration of one service.
type Service struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is the number of connections that each target of the service accepts, over all its clients.
	MaxConnections int
	// ColdTime is how long a target stays cold after its start; ColdRate is the number of requests per second that a cold target bears
	// from all VMs together, 0 if there is no bound.
	ColdTime time.Duration
	ColdRate cassiabudget.Rate
}

// Limits bound the size of callers' requests, the time to send a request's headers, and the idle time of a connection.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WeightedService is one service of a traffic split and its weight. Its share of the requests is Weight divided by the
// sum of all weights; a service of weight 0 gets none unless all weights are 0.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route configures how requests to a host and path prefix are served.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Idempotent is true when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// DesiredLatency is the desired response time; an answer after it is worth less to the caller.
	DesiredLatency time.Duration
	// MaxAttempts limits the number of targets of a service that one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Split lists the services among which the requests of a route without fan-out are divided; one entry if there is no
	// split.
	Split []WeightedService
	// Shards lists the services that each request is sent to; empty when one service answers.
	Shards []ServiceName
	// TopK is the number of greatest records that an answer holds.
	TopK int
	// MinCoverage is the smallest fraction of the shards, from 0 to 1, that an answer may be merged from.
	MinCoverage float64
	// Anonymous is true when requests need no API key.
	Anonymous bool
	// Regions lists the regions in which requests may run; all regions if it is empty.
	Regions []cassiaid.Region
}

// FansOut reports whether each request is sent to several services, the shards.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// Catalog is one immutable version of the configuration. Make it with NewCatalog.
type Catalog struct {
	Version  Version
	Limits   Limits
	Services map[ServiceName]Service
	Routes   []*Route
	// Teams holds the teams that callers act for. It is nil if requests need no API key.
	Teams    *Teams
	byPrefix map[string]*Route
}

// NewCatalog returns a catalog of routes and services.
func NewCatalog(version Version, limits Limits, services []Service, routes []*Route) *Catalog {
	c := &Catalog{Version: version, Limits: limits, Routes: routes, Services: make(map[ServiceName]Service, len(services)),
		byPrefix: make(map[string]*Route, len(routes))}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.byPrefix[prefixKey(r.Host, r.Prefix)] = r
	}
	return c
}

// FanOutServices returns the services that are shards of a route.
func (c *Catalog) FanOutServices() map[ServiceName]bool {
	services := make(map[ServiceName]bool)
	for _, r := range c.Routes {
		for _, s := range r.Shards {
			services[s] = true
		}
	}
	return services
}

// LargestFanOut returns the most shards of a route.
func (c *Catalog) LargestFanOut() int {
	most := 0
	for _, r := range c.Routes {
		most = max(most, len(r.Shards))
	}
	return most
}

// Match returns the route of the host whose Prefix is the longest prefix of path, or nil. It finds only prefixes that
// end in a slash. A port in host is ignored.
func (c *Catalog) Match(host, path string) *Route {
	host = hostname(host)
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r, ok := c.byPrefix[prefixKey(host, path[:end+1])]; ok {
			return r
		}
	}
	return nil
}

func prefixKey(host, prefix string) string { return strings.ToLower(host) + " " + prefix }

// hostname returns a Host header without its port.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
