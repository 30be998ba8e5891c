// Package fleet tests what must always hold while things fail, on a fleet of
// real nodes in one process with stand-ins for the platform and the servers.
package fleet
