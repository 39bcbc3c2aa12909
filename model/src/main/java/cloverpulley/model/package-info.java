/** An installation on a virtual clock: servers, network, clients and the real decision module, repeatable bit for bit by its seed. */
package cloverpulley.model;
