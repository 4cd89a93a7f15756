// Package admission divides a pool among the workspaces whose jobs compete for it, and
// keeps the order in which refused callers return.
//
// Shares knows the weights of the workspaces. It tells whether a job is within its
// workspace's entitlement, how much of the accepted work goes before a new job, and in
// which order waiting jobs start. Places is the virtual queue of refused callers.
//
// Both decide without clock, network or goroutines: the present time is an argument, and
// work is in units of the caller's choice, such as millicore-seconds. They keep state for
// configured workspaces and a limited number of callers only, and lose nothing that lasts
// if it is dropped: a new owner of the pool starts with zero values.
package admission
