/** Discrete-event simulation of servers, network and clients around the real decision module; fully deterministic for a given seed. */
package cloverpulley.model;
