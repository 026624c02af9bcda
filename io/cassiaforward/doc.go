// Package cassiaforward has another VM serve a caller's request when this VM reaches no target, and serves such requests of other
// VMs. Each request is passed on once; core/cassiagateway decides when and to which VM.
package cassiaforward
