// Package bvroute decides what a balancer does with each packet.
package bvroute
