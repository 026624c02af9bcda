// Package cassiafollow keeps a VM's configuration and its lists of registered targets and VMs up to date by watching the
// store, and keeps the VM's own presence entry in it. In a zone with many VMs, only a few watch the store and the others ask
// them for changes.
package cassiafollow
