// Package bvmember keeps a balancer's view of its peers.
package bvmember
