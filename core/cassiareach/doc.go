// Package cassiareach decides whether a VM reaches its targets at all, so that the other VMs do not take its broken links for broken
// targets.
package cassiareach
