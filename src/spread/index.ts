/** How the configuration and the list of VMs reach every daemon. */
export * from './proof.js';
export * from './config-follower.js';
export * from './vm-list.js';
export * from './vms-follower.js';
export * from './home-load-table.js';
