/** Distribution of the configuration, the VM list and the load of homes to every entry daemon. */
export * from './proof.js';
export * from './config-follower.js';
export * from './vm-list.js';
export * from './vms-follower.js';
export * from './home-load-table.js';
