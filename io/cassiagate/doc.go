// Package cassiagate serves callers of routes over HTTP: it carries out what core/cassiagateway decides and tells the load
// balancer whether this VM should get requests.
package cassiagate
