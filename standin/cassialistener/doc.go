// Package cassialistener provides listeners for stand-ins that limit what their connections take.
package cassialistener
